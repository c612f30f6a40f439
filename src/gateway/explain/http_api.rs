//! Serves explanations over HTTP, in JSON.

use http::{Method, Request, StatusCode};
use serde::Serialize;

use super::{ExplainError, ExplainRequest, Explanation};
use crate::gateway::service::CallerService;
use crate::http_server::{ErrorBody, HttpResponse, json};

/// Path of explanations.
pub const EXPLAIN_PATH: &str = "/explain";

#[derive(Debug)]
#[derive(Serialize)]
struct ExplainErrorBody {
    error: &'static str,
    message: Box<str>,
}

impl CallerService {
    /// Answers `GET /explain`; `None` for other paths.
    pub fn answer_explain<B>(&self, request: &Request<B>) -> Option<HttpResponse> {
        if request.uri().path() != EXPLAIN_PATH {
            return None;
        }
        if request.method() != Method::GET {
            let error = ErrorBody { error: "method" };
            return Some(json(StatusCode::METHOD_NOT_ALLOWED, &error));
        }
        let explained = self.explain_query(request.uri().query().unwrap_or(""));
        Some(match explained {
            Ok(explanation) => json(StatusCode::OK, &explanation),
            Err(error) => {
                let body = ExplainErrorBody {
                    error: "not_explained",
                    message: error.to_string().into(),
                };
                json(error.status(), &body)
            }
        })
    }

    fn explain_query(&self, query: &str) -> Result<Explanation, ExplainError> {
        self.explain(&ExplainRequest::from_query(query)?)
    }
}

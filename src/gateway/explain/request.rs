//! Reads what a request to explain is like from the query of a URL.

use http::Method;
use http::uri::PathAndQuery;

use super::ExplainError;
use crate::query_string::{encode, parameters};

/// Request to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainRequest {
    /// Host, with or without a port.
    pub host: Box<str>,
    /// Path, without the query.
    pub path: Box<str>,
    /// Method, by which no request is routed.
    pub method: Box<str>,
}

impl ExplainRequest {
    /// Creates a request from the texts that a caller would send; the path may have a query.
    ///
    /// # Errors
    ///
    /// Fails if a part of it can't be used.
    pub fn new(host: &str, path: &str, method: &str) -> Result<Self, ExplainError> {
        let malformed = |name: &str| ExplainError::Malformed(name.into());
        let is_host = !host.is_empty() && host.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_host {
            return Err(malformed("host"));
        }
        // An empty path would be parsed as `/`.
        let path = Some(path).filter(|path| path.starts_with('/'));
        let path: Option<PathAndQuery> = path.and_then(|path| path.parse().ok());
        let path = path.ok_or_else(|| malformed("path"))?;
        let method: Result<Method, _> = method.parse();
        let method = method.map_err(|_| malformed("method"))?;
        Ok(Self {
            host: host.into(),
            path: path.path().into(),
            method: method.as_str().into(),
        })
    }

    /// Reads the query of a URL.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing, unknown, given twice or malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{ExplainError, ExplainRequest};
    /// let request = ExplainRequest::from_query("host=desk.example&path=/g/a%2520b%3Fq")?;
    /// assert_eq!((&*request.path, &*request.method), ("/g/a%20b", "GET"));
    /// assert_eq!(ExplainRequest::from_query("host=h"), Err(ExplainError::Missing("path")));
    /// # Ok::<(), ExplainError>(())
    /// ```
    pub fn from_query(query: &str) -> Result<Self, ExplainError> {
        let pairs = parameters(query).map_err(|_| ExplainError::Malformed("query".into()))?;
        let (mut host, mut path, mut method) = (None, None, None);
        for (name, value) in pairs {
            let field = match &*name {
                "host" => &mut host,
                "path" => &mut path,
                "method" => &mut method,
                _ => return Err(ExplainError::Unexpected(name.into())),
            };
            if field.replace(value).is_some() {
                return Err(ExplainError::Unexpected(name.into()));
            }
        }
        let host = host.ok_or(ExplainError::Missing("host"))?;
        let path = path.ok_or(ExplainError::Missing("path"))?;
        Self::new(&host, &path, method.as_deref().unwrap_or("GET"))
    }

    /// Returns the query of a URL for this request.
    pub fn to_query(&self) -> String {
        let [host, path, method] = [&self.host, &self.path, &self.method].map(|text| encode(text));
        format!("host={host}&path={path}&method={method}")
    }
}

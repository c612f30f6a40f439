//! Runs the stand-in for a target as a separate process, with one or more leaves and a control
//! listener.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use cloverrack_standins::server::{Body, json, read_body, status};
use cloverrack_standins::{LeafOptions, LeafStandin};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pico_args::Arguments;
use tokio::net::TcpListener;

const HELP: &str = "\
Usage: standin-target --leaf IP:PORT [--leaf IP:PORT ...] [OPTIONS]
  --control IP:PORT     listener for GET and POST /options/LEAF, GET /record/LEAF, /counts/LEAF
  --options JSON        options of all leaves, such as {\"slots\":3,\"service_us\":500}
  --help, --version
";

type Leaves = Arc<BTreeMap<String, LeafStandin>>;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("standin-target {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match serve(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-target: {error}");
            ExitCode::from(2)
        }
    }
}

async fn serve(mut arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let addresses: Vec<SocketAddr> = arguments.values_from_str("--leaf")?;
    let control: Option<SocketAddr> = arguments.opt_value_from_str("--control")?;
    let options: Option<String> = arguments.opt_value_from_str("--options")?;
    let options: LeafOptions = match options {
        Some(text) => serde_json::from_str(&text)?,
        None => LeafOptions::default(),
    };
    let mut leaves = BTreeMap::new();
    for address in addresses {
        let leaf = LeafStandin::bind(address, options.clone()).await?;
        leaf.crash_exits_process();
        leaves.insert(address.to_string(), leaf);
    }
    if let Some(control) = control {
        let listener = TcpListener::bind(control).await?;
        tokio::spawn(accept(listener, Arc::new(leaves)));
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn accept(listener: TcpListener, leaves: Leaves) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let leaves = Arc::clone(&leaves);
        tokio::spawn(async move {
            let service = service_fn(|request| handle(&leaves, request));
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(leaves: &Leaves, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let Some((action, leaf)) = path.trim_start_matches('/').split_once('/') else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    let Some(leaf) = leaves.get(leaf) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    Ok(match (request.method().clone(), action) {
        (Method::GET, "record") => json(&leaf.executions()),
        (Method::GET, "counts") => json(&leaf.counts()),
        (Method::GET, "options") => json(&leaf.options()),
        (Method::POST, "options") => {
            let body = read_body(request.into_body()).await;
            match serde_json::from_slice(&body) {
                Ok(options) => {
                    leaf.set(|current| *current = options);
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    })
}

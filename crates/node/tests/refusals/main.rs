//! Requests that are refused for a fault of their own: the log lines say what is wrong.

mod ingress;
mod log_lines;

use http::Method;
use knapweed_node::body;
use knapweed_node::ingress::CallerRequest;

/// Sends a request to an ingress of the users' platform; returns its log line.
async fn refused(path: &str, headers: &[(&'static str, &str)]) -> String {
    log_lines::collect();
    let mut fields = http::HeaderMap::new();
    for (name, value) in headers {
        fields.insert(*name, value.parse().expect("a header value"));
    }
    let request = CallerRequest {
        method: Method::GET,
        uri: path.parse().expect("a path"),
        headers: fields,
        body: body::empty(),
    };
    ingress::start().run(request).await;
    log_lines::last("not-run")
}

/// Guards against a refusal whose cause cannot be found: the log had neither the host and path
/// of a request without a route, nor the header that could not be read.
#[tokio::test]
async fn a_refusal_says_what_is_wrong_with_the_request() {
    let host = ("host", "calendar.example");
    let long = format!("/nowhere/{}", "a".repeat(200));
    let lines = [
        refused("/nowhere/1?x=2", &[host, ("x-request-id", "r-1")]).await,
        refused(&long, &[host, ("x-request-id", "r-2")]).await,
        refused("/calendar/1", &[host]).await,
        refused(
            "/calendar/1",
            &[host, ("x-request-id", "r-4"), ("x-deadline-ms", "s\"oon")],
        )
        .await,
        refused("/calendar/1", &[("x-request-id", "")]).await,
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

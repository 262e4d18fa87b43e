//! The management address: HTTP/1.1 for operators and the platform, one call per connection.
//!
//! `GET /-/ready` returns 200 while the router serves and 503 otherwise, `PUT /-/drain` starts a drain, `PUT
//! /-/resume` accepts clients again. [`handle`] interprets a call and does no I/O. The listener holds a few
//! connections at a time, each for at most [`CALL_TIMEOUT`], and closes the oldest to make room for a new
//! one: a caller that never finishes takes up a slot until its timeout but never delays the others. Request
//! heads are parsed by `httparse` in a fixed buffer, so no memory is allocated on a length that the caller
//! claims.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::drain::{Drain, Phase};
use crate::limited::LimitedLine;
use crate::{clock, loop_monitor};

/// Maximum number of open calls; a further one closes the oldest.
pub const MAX_CALLS: usize = 8;
/// Timeout of a whole call. Callers wait 1 s for the answer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum length of a request head, in bytes.
pub const MAX_HEAD: usize = 2048;
/// Maximum length of a request body, in bytes. Bodies are read and discarded.
const MAX_BODY: usize = 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 24;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body text, one line without its line end.
    pub text: &'static str,
    /// Bytes of the request body that have not arrived yet; they are read before the response is sent.
    pub body_remaining: usize,
}

/// Result of parsing the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parsed {
    /// The head is incomplete.
    Incomplete,
    /// The call was carried out or refused.
    Response(Response),
}

fn refusal(status: u16, text: &'static str) -> Parsed {
    Parsed::Response(Response { status, text, body_remaining: 0 })
}

/// Parses a call from the bytes received so far and applies it to the drain. The call may have come as early as
/// `earliest`.
pub fn handle(bytes: &[u8], drain: &mut Drain, now: Micros, earliest: Micros) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD => return refusal(431, "head too long"),
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(_) => return refusal(400, "malformed request"),
    };
    let mut body_length = 0usize;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return refusal(411, "a length is needed");
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok().filter(|t| !t.is_empty());
            match digits.filter(|t| t.bytes().all(|b| b.is_ascii_digit())).and_then(|t| t.parse().ok()) {
                Some(n) if n <= MAX_BODY => body_length = n,
                Some(_) => return refusal(413, "body too long"),
                None => return refusal(400, "malformed content-length"),
            }
        }
    }
    let body_remaining = body_length.saturating_sub(bytes.len() - head_length);
    let (method, path) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    let path = path.split('?').next().unwrap_or("");
    let expected = match path {
        "/-/ready" => "GET",
        "/-/drain" | "/-/resume" => "PUT",
        _ => return refusal(404, "no such call; there are GET /-/ready, PUT /-/drain, PUT /-/resume"),
    };
    if method != expected {
        return refusal(405, if expected == "GET" { "use GET" } else { "use PUT" });
    }
    let (status, text) = match path {
        "/-/ready" if drain.ready() => (200, "ready"),
        "/-/ready" => (503, "not ready"),
        "/-/drain" => {
            drain.drain_noticed(now, earliest);
            (200, "draining")
        }
        _ if matches!(drain.phase(), Phase::Ending(_)) => (409, "ending; nothing brings it back"),
        _ => {
            drain.resume();
            (200, "serving")
        }
    };
    Parsed::Response(Response { status, text, body_remaining })
}

/// Encodes a response. It announces that the connection is closed afterwards.
pub fn encode(response: &Response) -> Vec<u8> {
    let reason = match response.status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "",
    };
    let allow = match response.status {
        405 if response.text == "use GET" => "Allow: GET\r\n",
        405 => "Allow: PUT\r\n",
        _ => "",
    };
    format!(
        "HTTP/1.1 {} {reason}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}\n",
        response.status,
        response.text.len() + 1,
        response.text
    )
    .into_bytes()
}

/// Server on the management address.
pub struct Management {
    drain: Rc<RefCell<Drain>>,
    /// Wakes the front's connection sweep after a call.
    drain_notifier: Sender<()>,
    open_calls: RefCell<BTreeMap<u64, Sender<()>>>,
    next_id: std::cell::Cell<u64>,
}

impl Management {
    /// Creates a server whose calls change `drain`, which the front reads; `drain_notifier` notifies the front of a
    /// change.
    pub fn new(drain: Rc<RefCell<Drain>>, drain_notifier: Sender<()>) -> Rc<Self> {
        Rc::new(Self {
            drain,
            drain_notifier,
            open_calls: RefCell::default(),
            next_id: std::cell::Cell::new(0),
        })
    }

    /// Accepts and serves calls; never returns.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>, tasks: Rc<LocalExecutor<'static>>) {
        let mut failure_log = LimitedLine::default();
        loop {
            let (stream, _) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    if failure_log.is_due() {
                        tracing::warn!("management accept: {e}");
                    }
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let came_after = loop_monitor::earliest_arrival(clock::now());
            let full = self.open_calls.borrow().len() >= MAX_CALLS;
            if let Some((_, close)) = full.then(|| self.open_calls.borrow_mut().pop_first()).flatten() {
                let _ = close.try_send(());
            }
            let id = self.next_id.get();
            self.next_id.set(id + 1);
            let (close, close_requests) = async_channel::bounded(1);
            self.open_calls.borrow_mut().insert(id, close);
            let server = self.clone();
            tasks
                .spawn(async move {
                    let closed = async {
                        let _ = close_requests.recv().await;
                        Err(io::Error::other("closed to make room"))
                    };
                    let timed_out = async {
                        Timer::after(CALL_TIMEOUT).await;
                        Err(io::Error::from(io::ErrorKind::TimedOut))
                    };
                    if let Err(e) =
                        future::or(closed, future::or(timed_out, server.call(stream, came_after))).await
                    {
                        tracing::debug!(call = id, "management: {e}");
                    }
                    server.open_calls.borrow_mut().remove(&id);
                })
                .detach();
        }
    }

    /// Reads one call, applies it and writes the response. The connection came at `came_after` or later.
    async fn call(&self, mut stream: Async<TcpStream>, came_after: Micros) -> io::Result<()> {
        let mut buffer = [0u8; MAX_HEAD];
        let mut filled = 0;
        // What is read without a wait may have come with the connection.
        let mut earliest = Some(came_after);
        let response = loop {
            let mut read = pin!(stream.read(&mut buffer[filled..]));
            let n = match future::poll_once(&mut read).await {
                Some(read) => read?,
                None => {
                    earliest = None;
                    read.await?
                }
            };
            if n == 0 {
                return Ok(());
            }
            filled += n;
            let now = clock::now();
            let earliest = earliest.unwrap_or_else(|| loop_monitor::earliest_arrival(now));
            let read = handle(&buffer[..filled], &mut self.drain.borrow_mut(), now, earliest);
            if let Parsed::Response(response) = read {
                let _ = self.drain_notifier.try_send(());
                break response;
            }
        };
        if response.status == 200 && response.text != "ready" {
            tracing::info!("management: {}", response.text);
        }
        let mut remaining = response.body_remaining;
        while remaining > 0 {
            let n = stream.read(&mut buffer[..remaining.min(MAX_HEAD)]).await?;
            if n == 0 {
                break;
            }
            remaining -= n;
        }
        stream.write_all(&encode(&response)).await?;
        stream.flush().await?;
        let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(text: &str, drain: &mut Drain) -> Parsed {
        handle(text.as_bytes(), drain, 5, 5)
    }

    fn status(read: Parsed) -> u16 {
        match read {
            Parsed::Response(a) => a.status,
            Parsed::Incomplete => 0,
        }
    }

    #[test]
    fn ready_drain_and_resume_follow_the_state_of_the_drain() {
        let mut drain_state = Drain::new();
        assert_eq!(status(call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", &mut drain_state)), 503);
        drain_state.started();
        assert_eq!(status(call("GET /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)), 200);
        assert_eq!(status(call("PUT /-/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n", &mut drain_state)), 200);
        assert!(!drain_state.ready());
        assert_eq!(status(call("GET /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)), 503);
        assert_eq!(
            status(call("PUT /-/drain HTTP/1.1\r\n\r\n", &mut drain_state)),
            200,
            "a second drain call succeeds"
        );
        assert_eq!(status(call("PUT /-/resume HTTP/1.1\r\n\r\n", &mut drain_state)), 200);
        assert_eq!(status(call("PUT /-/resume HTTP/1.1\r\n\r\n", &mut drain_state)), 200);
        assert_eq!(status(call("GET /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)), 200);
        drain_state.end(6);
        assert_eq!(status(call("PUT /-/resume HTTP/1.1\r\n\r\n", &mut drain_state)), 409);
        assert_eq!(status(call("GET /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)), 503);
    }

    #[test]
    fn invalid_calls_are_refused_and_change_nothing() {
        let mut drain_state = Drain::new();
        drain_state.started();
        assert_eq!(status(call("GET /-/drain HTTP/1.1\r\n\r\n", &mut drain_state)), 405);
        assert_eq!(status(call("POST /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)), 405);
        assert_eq!(
            status(call("HEAD /-/ready HTTP/1.1\r\n\r\n", &mut drain_state)),
            405,
            "the response always has a body, so HEAD is not supported"
        );
        assert_eq!(status(call("GET /metrics HTTP/1.1\r\n\r\n", &mut drain_state)), 404);
        assert_eq!(status(call("GARBAGE\r\n\r\n", &mut drain_state)), 400);
        assert_eq!(status(call("PUT /-/drain HTTP/1.1\r\nContent-Length: x\r\n\r\n", &mut drain_state)), 400);
        assert_eq!(
            status(call("PUT /-/drain HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", &mut drain_state)),
            413
        );
        assert_eq!(
            status(call("PUT /-/drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", &mut drain_state)),
            411
        );
        assert!(drain_state.ready(), "a refused call doesn't drain");
        let long = format!("GET /-/ready HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD));
        assert_eq!(status(call(&long, &mut drain_state)), 431);
    }

    #[test]
    fn a_partial_call_waits_for_the_rest() {
        let whole = "PUT /-/drain HTTP/1.1\r\nHost: router\r\nContent-Length: 3\r\n\r\nyes";
        for cut in 0..whole.len() - 3 {
            let mut drain_state = Drain::new();
            drain_state.started();
            assert_eq!(
                handle(&whole.as_bytes()[..cut], &mut drain_state, 1, 1),
                Parsed::Incomplete,
                "answered an incomplete call of {cut} bytes"
            );
            assert!(drain_state.ready());
        }
        let mut drain_state = Drain::new();
        let Parsed::Response(a) = handle(&whole.as_bytes()[..whole.len() - 1], &mut drain_state, 1, 1) else {
            panic!()
        };
        assert_eq!(
            (a.status, a.body_remaining),
            (200, 1),
            "the rest of the body is read before the response"
        );
    }

    #[test]
    fn responses_have_a_length_and_close_the_connection() {
        let a = Response { status: 405, text: "use PUT", body_remaining: 0 };
        let text = String::from_utf8(encode(&a)).unwrap();
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: PUT\r\n"));
        assert!(text.contains("Content-Length: 8\r\nConnection: close\r\n\r\nuse PUT\n"));
    }
}

//! The management address: HTTP/1.1 for operators and the platform, one call per connection.
//!
//! `GET /-/ready` returns 200 while the router serves and 503 otherwise, `PUT /-/drain` starts a drain, `PUT /-/resume`
//! accepts clients again. [`answer`] interprets a call and does no I/O. The listener holds a few connections at a time,
//! each for at most [`CALL_TIME`], and closes the oldest to make room for a new one: a caller that never finishes takes up
//! a slot until its timeout but never delays the others. Request heads are parsed by `httparse` in a fixed buffer, so no
//! memory is allocated on a length that the caller claims.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bitternhold::Micros;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::clock;
use crate::drain::{Drain, Phase};
use crate::limited::LimitedLine;

/// Maximum number of open calls; a further one closes the oldest.
pub const MOST_CALLS: usize = 8;
/// Timeout of a whole call. Callers wait 1 s for the answer.
pub const CALL_TIME: Duration = Duration::from_millis(900);
/// Maximum length of a request head, in bytes.
pub const MOST_HEAD: usize = 2048;
/// Maximum length of a request body, in bytes. Bodies are read and discarded.
const MOST_BODY: usize = 1024;
/// Maximum number of headers in a request.
const MOST_HEADERS: usize = 24;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body text, one line without its line end.
    pub text: &'static str,
    /// Bytes of the request body that have not arrived yet; they are read before the response is sent.
    pub body_left: usize,
}

/// Result of parsing the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// The head is incomplete.
    More,
    /// The call was carried out or refused.
    Answer(Answer),
}

fn refuse(status: u16, text: &'static str) -> Read {
    Read::Answer(Answer { status, text, body_left: 0 })
}

/// Parses a call from the bytes received so far and applies it to the drain.
pub fn answer(bytes: &[u8], drain: &mut Drain, now: Micros) -> Read {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if bytes.len() >= MOST_HEAD => return refuse(431, "head too long"),
        Ok(httparse::Status::Partial) => return Read::More,
        Err(_) => return refuse(400, "malformed request"),
    };
    let mut length = 0usize;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return refuse(411, "a length is needed");
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok().filter(|t| !t.is_empty());
            match digits.filter(|t| t.bytes().all(|b| b.is_ascii_digit())).and_then(|t| t.parse().ok()) {
                Some(n) if n <= MOST_BODY => length = n,
                Some(_) => return refuse(413, "body too long"),
                None => return refuse(400, "malformed content-length"),
            }
        }
    }
    let body_left = length.saturating_sub(bytes.len() - head);
    let (method, path) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    let path = path.split('?').next().unwrap_or("");
    let wanted = match path {
        "/-/ready" => "GET",
        "/-/drain" | "/-/resume" => "PUT",
        _ => return refuse(404, "no such call; there are GET /-/ready, PUT /-/drain, PUT /-/resume"),
    };
    if method != wanted {
        return refuse(405, if wanted == "GET" { "use GET" } else { "use PUT" });
    }
    let (status, text) = match path {
        "/-/ready" if drain.ready() => (200, "ready"),
        "/-/ready" => (503, "not ready"),
        "/-/drain" => {
            drain.drain(now);
            (200, "draining")
        }
        _ if matches!(drain.phase(), Phase::Ending(_)) => (409, "ending; nothing brings it back"),
        _ => {
            drain.resume();
            (200, "serving")
        }
    };
    Read::Answer(Answer { status, text, body_left })
}

/// Encodes a response. It announces that the connection is closed afterwards.
pub fn written(answer: &Answer) -> Vec<u8> {
    let reason = match answer.status {
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
    let allow = match answer.status {
        405 if answer.text == "use GET" => "Allow: GET\r\n",
        405 => "Allow: PUT\r\n",
        _ => "",
    };
    format!(
        "HTTP/1.1 {} {reason}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}\n",
        answer.status,
        answer.text.len() + 1,
        answer.text
    )
    .into_bytes()
}

/// Server on the management address.
pub struct Management {
    drain: Rc<RefCell<Drain>>,
    /// Wakes the front's connection sweep after a call.
    nudge: Sender<()>,
    calls: RefCell<BTreeMap<u64, Sender<()>>>,
    next: std::cell::Cell<u64>,
}

impl Management {
    /// Creates a server whose calls change `drain`, which the front reads; `nudge` notifies the front of a change.
    pub fn new(drain: Rc<RefCell<Drain>>, nudge: Sender<()>) -> Rc<Self> {
        Rc::new(Self { drain, nudge, calls: RefCell::default(), next: std::cell::Cell::new(0) })
    }

    /// Accepts and serves calls; never returns.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>, tasks: Rc<LocalExecutor<'static>>) {
        let mut line = LimitedLine::default();
        loop {
            let (stream, _) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    if line.is_due() {
                        tracing::warn!("management accept: {e}");
                    }
                    Timer::after(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            let full = self.calls.borrow().len() >= MOST_CALLS;
            if let Some((_, cut)) = full.then(|| self.calls.borrow_mut().pop_first()).flatten() {
                let _ = cut.try_send(());
            }
            let id = self.next.get();
            self.next.set(id + 1);
            let (cut, cuts) = async_channel::bounded(1);
            self.calls.borrow_mut().insert(id, cut);
            let me = self.clone();
            tasks
                .spawn(async move {
                    let cut_off = async {
                        let _ = cuts.recv().await;
                        Err(io::Error::other("closed to make room"))
                    };
                    let late = async {
                        Timer::after(CALL_TIME).await;
                        Err(io::Error::from(io::ErrorKind::TimedOut))
                    };
                    if let Err(e) = future::or(cut_off, future::or(late, me.call(stream))).await {
                        tracing::debug!(call = id, "management: {e}");
                    }
                    me.calls.borrow_mut().remove(&id);
                })
                .detach();
        }
    }

    /// Reads one call, applies it and writes the response.
    async fn call(&self, mut stream: Async<TcpStream>) -> io::Result<()> {
        let mut buffer = [0u8; MOST_HEAD];
        let mut filled = 0;
        let answer = loop {
            let n = stream.read(&mut buffer[filled..]).await?;
            if n == 0 {
                return Ok(());
            }
            filled += n;
            let read = answer(&buffer[..filled], &mut self.drain.borrow_mut(), clock::now());
            if let Read::Answer(answer) = read {
                let _ = self.nudge.try_send(());
                break answer;
            }
        };
        if answer.status == 200 && answer.text != "ready" {
            tracing::info!("management: {}", answer.text);
        }
        let mut left = answer.body_left;
        while left > 0 {
            let n = stream.read(&mut buffer[..left.min(MOST_HEAD)]).await?;
            if n == 0 {
                break;
            }
            left -= n;
        }
        stream.write_all(&written(&answer)).await?;
        stream.flush().await?;
        let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn said(text: &str, drain: &mut Drain) -> Read {
        answer(text.as_bytes(), drain, 5)
    }

    fn status(read: Read) -> u16 {
        match read {
            Read::Answer(a) => a.status,
            Read::More => 0,
        }
    }

    #[test]
    fn ready_drain_and_resume_follow_the_state_of_the_drain() {
        let mut d = Drain::new();
        assert_eq!(status(said("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", &mut d)), 503);
        d.started();
        assert_eq!(status(said("GET /-/ready HTTP/1.1\r\n\r\n", &mut d)), 200);
        assert_eq!(status(said("PUT /-/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n", &mut d)), 200);
        assert!(!d.ready());
        assert_eq!(status(said("GET /-/ready HTTP/1.1\r\n\r\n", &mut d)), 503);
        assert_eq!(
            status(said("PUT /-/drain HTTP/1.1\r\n\r\n", &mut d)),
            200,
            "a second drain call succeeds"
        );
        assert_eq!(status(said("PUT /-/resume HTTP/1.1\r\n\r\n", &mut d)), 200);
        assert_eq!(status(said("PUT /-/resume HTTP/1.1\r\n\r\n", &mut d)), 200);
        assert_eq!(status(said("GET /-/ready HTTP/1.1\r\n\r\n", &mut d)), 200);
        d.end(6);
        assert_eq!(status(said("PUT /-/resume HTTP/1.1\r\n\r\n", &mut d)), 409);
        assert_eq!(status(said("GET /-/ready HTTP/1.1\r\n\r\n", &mut d)), 503);
    }

    #[test]
    fn invalid_calls_are_refused_and_change_nothing() {
        let mut d = Drain::new();
        d.started();
        assert_eq!(status(said("GET /-/drain HTTP/1.1\r\n\r\n", &mut d)), 405);
        assert_eq!(status(said("POST /-/ready HTTP/1.1\r\n\r\n", &mut d)), 405);
        assert_eq!(
            status(said("HEAD /-/ready HTTP/1.1\r\n\r\n", &mut d)),
            405,
            "the response always has a body, so HEAD is not supported"
        );
        assert_eq!(status(said("GET /metrics HTTP/1.1\r\n\r\n", &mut d)), 404);
        assert_eq!(status(said("GARBAGE\r\n\r\n", &mut d)), 400);
        assert_eq!(status(said("PUT /-/drain HTTP/1.1\r\nContent-Length: x\r\n\r\n", &mut d)), 400);
        assert_eq!(status(said("PUT /-/drain HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", &mut d)), 413);
        assert_eq!(status(said("PUT /-/drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", &mut d)), 411);
        assert!(d.ready(), "a refused call doesn't drain");
        let long = format!("GET /-/ready HTTP/1.1\r\nX: {}", "a".repeat(MOST_HEAD));
        assert_eq!(status(said(&long, &mut d)), 431);
    }

    #[test]
    fn a_partial_call_waits_for_the_rest() {
        let whole = "PUT /-/drain HTTP/1.1\r\nHost: router\r\nContent-Length: 3\r\n\r\nyes";
        for cut in 0..whole.len() - 3 {
            let mut d = Drain::new();
            d.started();
            assert_eq!(
                answer(&whole.as_bytes()[..cut], &mut d, 1),
                Read::More,
                "answered an incomplete call of {cut} bytes"
            );
            assert!(d.ready());
        }
        let mut d = Drain::new();
        let Read::Answer(a) = answer(&whole.as_bytes()[..whole.len() - 1], &mut d, 1) else { panic!() };
        assert_eq!((a.status, a.body_left), (200, 1), "the rest of the body is read before the response");
    }

    #[test]
    fn responses_have_a_length_and_close_the_connection() {
        let a = Answer { status: 405, text: "use PUT", body_left: 0 };
        let text = String::from_utf8(written(&a)).unwrap();
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: PUT\r\n"));
        assert!(text.contains("Content-Length: 8\r\nConnection: close\r\n\r\nuse PUT\n"));
    }
}

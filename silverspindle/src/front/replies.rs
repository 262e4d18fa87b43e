//! Replies to a client, until they are encoded, and the memory of those that repeat what the client sent.

use bytes::Bytes;
use silverspindle_wire::framing::StreamOwner;
use silverspindle_wire::memory::{Claim, Recipient, Reservation};

use crate::thrift;
use crate::traffic::{StreamedBody, Verdict};

/// Length in bytes from which on the name of a method that there is not counts as memory of its reply, which repeats it.
pub const LONG_NAME: usize = 256;

/// Reply for the writer to encode and send.
#[derive(Debug)]
pub enum Reply {
    /// The director's answer to a request, or the refusal of one that it was not passed.
    Verdict(i32, Verdict),
    /// The answer to a health check.
    IsWell(i32, bool),
    /// The reply to a call of a method that there is not. In a box, as it is rare and each connection has room for many replies
    /// from its start.
    Unknown(Box<UnknownMethod>),
}

impl Reply {
    /// Bytes of the body that are held until it is written.
    pub fn held_bytes(&self) -> usize {
        if let Reply::Verdict(_, verdict) = self { verdict.bytes() } else { 0 }
    }
}

/// A call of a method that there is not.
#[derive(Debug)]
pub struct UnknownMethod {
    /// Sequence number of the call.
    pub seq: i32,
    /// Name of the method.
    pub name: String,
    /// Memory of a long name, until the reply is written.
    pub reservation: Option<Reservation>,
}

/// Claims memory for messages of a connection whose replies repeat a long name: these keep it until the client has read them.
#[derive(Debug)]
pub struct LongNames(pub Recipient);

impl StreamOwner for LongNames {
    fn claim(&self, received: &[u8]) -> Option<Claim> {
        let is_long = thrift::method_name_length(received).is_some_and(|length| length >= LONG_NAME);
        is_long.then(|| Claim { recipient: Some(self.0), ..Claim::default() })
    }
}

/// The body of a reply.
pub enum EncodedBody {
    Whole(Bytes),
    Arriving(StreamedBody),
}

/// A reply in three parts: the bytes before the body, the body without a copy, the bytes after it.
pub struct EncodedReply {
    pub head: Vec<u8>,
    pub body: EncodedBody,
    pub tail: Vec<u8>,
    /// Memory that is held until the reply is written.
    pub reservation: Option<Reservation>,
}

impl EncodedReply {
    fn new([head, tail]: [Vec<u8>; 2], body: EncodedBody) -> Self {
        Self { head, body, tail, reservation: None }
    }

    fn without_body(head: Vec<u8>) -> Self {
        Self::new([head, Vec::new()], EncodedBody::Whole(Bytes::new()))
    }
}

/// Encodes a reply.
pub fn encode(reply: Reply) -> EncodedReply {
    match reply {
        Reply::Verdict(seq, Verdict::Served(body)) => {
            let parts = thrift::encode_answer("serve", seq, body.len(), &[], true);
            EncodedReply::new(parts, EncodedBody::Whole(body))
        }
        Reply::Verdict(seq, Verdict::Streamed(body)) => {
            let parts = thrift::encode_answer("serve", seq, body.length, &[], true);
            EncodedReply::new(parts, EncodedBody::Arriving(body))
        }
        Reply::Verdict(seq, Verdict::NotModified) => EncodedReply::without_body(
            thrift::encode_answer("serve", seq, 0, &[("keep", "1")], true).concat(),
        ),
        Reply::Verdict(seq, Verdict::Refused(refusal)) => {
            EncodedReply::without_body(thrift::encode_throttled(seq, refusal.backoff()))
        }
        Reply::Verdict(seq, Verdict::Failed) => EncodedReply::without_body(thrift::encode_broken(seq)),
        Reply::IsWell(seq, good) => {
            EncodedReply::without_body(thrift::encode_answer("isWell", seq, 0, &[], good).concat())
        }
        Reply::Unknown(unknown) => {
            let UnknownMethod { seq, name, reservation } = *unknown;
            let head = thrift::encode_unknown_method(&name, seq);
            EncodedReply { reservation, ..EncodedReply::without_body(head) }
        }
    }
}

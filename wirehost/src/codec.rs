//! Translates the simulator's JSON messages to events of the decision module, and the module's actions back.

use std::collections::BTreeMap;
use std::fmt::Write;

use bitternhold::settings::{SiteSettings, index_of, micros};
use bitternhold::*;
use serde_json::{Map, Value};

type MessageResult<T> = Result<T, String>;
type Object = Map<String, Value>;

/// A director, with the names of classes, zones and kinds from its settings.
struct Instance {
    director: Director,
    site: SiteSettings,
}

/// All director instances of this process, and the numbered member lists that `fleet` events refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
    actions: Vec<Action>,
}

/// A message with its name, which error messages quote.
struct Message<'a> {
    name: &'a str,
    fields: &'a Object,
}

impl<'a> Message<'a> {
    fn malformed(&self, field: &str) -> String {
        format!("message '{}': field '{field}' is missing or malformed", self.name)
    }
    fn value(&self, field: &str) -> Option<&'a Value> {
        self.fields.get(field).filter(|v| !v.is_null())
    }
    fn optional<T>(&self, field: &str, read: impl Fn(&'a Value) -> Option<T>) -> MessageResult<Option<T>> {
        self.value(field).map(|v| read(v).ok_or_else(|| self.malformed(field))).transpose()
    }
    fn required<T>(&self, field: &str, read: impl Fn(&'a Value) -> Option<T>) -> MessageResult<T> {
        self.optional(field, read)?.ok_or_else(|| self.malformed(field))
    }
    fn text(&self, field: &str) -> MessageResult<&'a str> {
        self.required(field, Value::as_str)
    }
    fn number(&self, field: &str) -> MessageResult<u64> {
        self.required(field, whole_number)
    }
    fn micros(&self, field: &str) -> MessageResult<Micros> {
        self.required(field, micros)
    }
    fn ticket(&self) -> MessageResult<RequestId> {
        self.required("ticket", |v| ticket(v.as_str()?))
    }
    fn node(&self) -> MessageResult<MemberId> {
        self.number("node").map(MemberId)
    }
    fn flag(&self, field: &str) -> MessageResult<bool> {
        Ok(self.optional(field, Value::as_bool)?.unwrap_or(false))
    }
}

/// Reads a whole number that is not negative, also where it is written as a float.
fn whole_number(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_f64().filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as u64))
}

/// Parses a request id. Replies must repeat the id unchanged, so a text that [`ticket_text`] would write differently is
/// malformed.
fn ticket(text: &str) -> Option<RequestId> {
    let hex: String = text.chars().filter(|c| *c != '-').collect();
    let id = RequestId(u128::from_str_radix(&hex, 16).ok()?);
    (ticket_text(id) == text).then_some(id)
}

/// Formats a request id as the simulator writes it: 32 hex digits in five groups.
fn ticket_text(id: RequestId) -> String {
    let h = format!("{:032x}", id.0);
    format!("{}-{}-{}-{}-{}", &h[..8], &h[8..12], &h[12..16], &h[16..20], &h[20..])
}

/// Status for the simulator's number.
fn status(v: &Value) -> Option<Status> {
    Some(match v.as_u64()? {
        0 => Status::Ok,
        13 => Status::Error,
        8 => Status::Full,
        4 => Status::Timeout,
        14 => Status::ConnectFailed,
        10 => Status::Reset,
        1 => Status::Cancelled,
        9 => Status::Moot,
        5 => Status::Miss,
        _ => return None,
    })
}

/// Note for the simulator's number; the inner `None` for a number that is no note.
fn note(v: &Value) -> Option<Option<Note>> {
    Some(match v.as_u64()? {
        1 => Some(Note::Hit),
        2 => Some(Note::Filled),
        3 => Some(Note::FilledByOrigin),
        4 => Some(Note::Joined),
        5 => Some(Note::Stale),
        6 => Some(Note::SourceRefused),
        7 => Some(Note::SourceUnreachable),
        8 => Some(Note::SourceLacks),
        9 => Some(Note::FillsFull),
        10 => Some(Note::OriginFailed),
        _ => None,
    })
}

fn load(v: &Value) -> Option<Load> {
    let m = v.as_object()?;
    let get = |name: &str| m.get(name).and_then(Value::as_f64);
    Some(Load { cpu: get("cpu"), active: get("active"), waiting: get("waiting"), link: get("x1") })
}

impl Host {
    /// Handles one batch of events and writes its reply, including the line end.
    pub fn batch(&mut self, line: &str, reply: &mut String) -> MessageResult<()> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("message 'batch': {e}"))?;
        let fields = value.as_object().ok_or("message 'batch': not an object")?;
        let batch = Message { name: "batch", fields };
        let now = batch.micros("now_ms")?;
        reply.clear();
        reply.push_str("{\"parts\":[");
        let mut first_part = true;
        for part in batch.required("parts", Value::as_array)? {
            let fields = part.as_object().ok_or("message 'parts': not an object")?;
            let part = Message { name: "parts", fields };
            let instance_id = part.number("who")?;
            for event in part.required("news", Value::as_array)? {
                let fields = event.as_object().ok_or("message 'news': not an object")?;
                let name = Message { name: "news", fields }.text("m")?;
                self.event(now, instance_id, &Message { name, fields })?;
            }
            if !self.actions.is_empty() {
                let comma = if first_part { "" } else { "," };
                write!(reply, "{comma}{{\"who\":{instance_id},\"do\":[").expect("writes to a string");
                first_part = false;
                for (i, action) in self.actions.drain(..).enumerate() {
                    reply.push_str(if i > 0 { "," } else { "" });
                    encode(now, &action, reply);
                }
                reply.push_str("]}");
            }
        }
        reply.push_str("]}\n");
        Ok(())
    }

    /// Handles one event of a batch: creates or removes instances, defines lists, or passes the event to its instance.
    fn event(&mut self, now: Micros, instance_id: u64, msg: &Message) -> MessageResult<()> {
        match msg.name {
            "configure" => {
                let options = msg.required("options", Value::as_object)?;
                let site = SiteSettings::parse(options);
                let director = Director::new(msg.number("prng")?, site.settings.clone());
                self.instances.insert(instance_id, Instance { director, site });
                return Ok(());
            }
            "define_list" => {
                self.lists.insert(msg.number("ref")?, msg.required("records", Value::as_array)?.clone());
                return Ok(());
            }
            "retire" => {
                self.instances.remove(&instance_id);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
        let event = match msg.name {
            "fleet" => {
                let kind = match msg.number("kind")? {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    _ => return Err(msg.malformed("kind")),
                };
                let mut members = Vec::new();
                if kind != ListKind::Failed {
                    for v in self.lists.get(&msg.number("ref")?).ok_or_else(|| msg.malformed("ref"))? {
                        let fields = v.as_object().ok_or("message 'define_list': record is no object")?;
                        members.push(instance.member(&Message { name: "define_list", fields })?);
                    }
                }
                Event::Members { kind, members }
            }
            "call" => Event::Request(Request {
                id: msg.ticket()?,
                class: index_of(&instance.site.classes, msg.optional("band", Value::as_str)?),
                object: msg.text("key")?.to_owned(),
                part: msg.optional("range_no", whole_number)?.unwrap_or(0),
                group: msg.optional("tag", whole_number)?.unwrap_or(0),
                size_kb: msg.optional("length_kb", Value::as_f64)?.filter(|kb| *kb > 0.0),
                write: msg.flag("write")?,
                valid_until: msg.micros("valid_until_ms")?,
                own_copy: None,
            }),
            "ended" => Event::Outcome(Outcome {
                id: msg.ticket()?,
                attempt: msg.number("seq_no")? as u32,
                member: msg.node()?,
                status: msg.required("reason", status)?,
                elapsed: msg.micros("elapsed_ms")?,
                closed: msg.flag("no_more")?,
                note: msg.optional("detail", note)?.flatten(),
                fill_time: msg.optional("first_byte_ms", micros)?,
                load: msg.optional("telemetry", load)?,
            }),
            "head_received" => Event::Streaming { id: msg.ticket()?, attempt: msg.number("seq_no")? as u32 },
            "client_gone" => Event::ClientGone { id: msg.ticket()? },
            "superseded" => Event::Purged {
                object: msg.value("key").and_then(Value::as_str).map(str::to_owned),
                group: msg.number("group")?,
                age: msg.micros("age_span_ms")?,
            },
            "sampled" => Event::Probed {
                member: msg.node()?,
                status: msg.required("reason", status)?,
                elapsed: msg.micros("elapsed_ms")?,
                load: msg.optional("telemetry", load)?,
            },
            "wake" => Event::Timer { token: msg.number("key_back")? },
            _ => return Ok(()),
        };
        instance.director.handle(now, event, &mut self.actions);
        Ok(())
    }
}

impl Instance {
    fn member(&self, msg: &Message) -> MessageResult<Member> {
        Ok(Member {
            id: msg.node()?,
            lifecycle: match msg.number("lifecycle")? {
                0 => Lifecycle::Gone,
                1 => Lifecycle::Ready,
                2 => Lifecycle::Draining,
                _ => return Err(msg.malformed("lifecycle")),
            },
            zone: index_of(&self.site.zones, msg.optional("hall", Value::as_str)?),
            kind: index_of(&self.site.kinds, msg.optional("sku", Value::as_str)?),
            cell: msg.optional("unit_group", whole_number)?.unwrap_or(0),
            weight: msg.optional("nominal", Value::as_f64)?.unwrap_or(0.0),
            started: msg.optional("born_ms", micros)?.unwrap_or(0),
        })
    }
}

/// Converts microseconds to milliseconds.
fn ms(t: Micros) -> f64 {
    t as f64 / 1000.0
}

/// Appends an action to a reply as JSON.
fn encode(now: Micros, action: &Action, out: &mut String) {
    let result = match action {
        Action::Lookup { id, member, until } => write!(
            out,
            r#"{{"m":"deliver","ticket":"{}","node":{},"abandon_at_ms":{}}}"#,
            ticket_text(*id),
            member.0,
            ms(*until)
        ),
        Action::Fetch { id, member, until, source, keep, max_age, mode } => {
            let m = mode;
            let mode = u8::from(m.join)
                + 2 * u8::from(m.held_only)
                + 4 * u8::from(m.parent_pass)
                + 8 * u8::from(m.renew);
            write!(
                out,
                concat!(
                    r#"{{"m":"answer_from","ticket":"{}","node":{},"abandon_at_ms":{},"fill_source":{},"#,
                    r#""store_as":{},"age_span_ms":{},"mode":{}}}"#
                ),
                ticket_text(*id),
                member.0,
                ms(*until),
                source.0,
                *keep as u8,
                ms(max_age.unwrap_or(0)),
                mode
            )
        }
        Action::Cancel { id, attempt } => {
            write!(out, r#"{{"m":"cancel","ticket":"{}","seq_no":{attempt}}}"#, ticket_text(*id))
        }
        Action::Refuse { id, wait } => {
            write!(out, r#"{{"m":"busy","ticket":"{}","wait_ms":{}}}"#, ticket_text(*id), ms(*wait))
        }
        // The simulator's directors hold no copies of their own, so the module never asks to serve one.
        Action::Own { id } | Action::Fail { id } => {
            write!(out, r#"{{"m":"fail","ticket":"{}"}}"#, ticket_text(*id))
        }
        Action::Timer { delay, token } => {
            write!(out, r#"{{"m":"schedule","in_ms":{},"key_back":{token}}}"#, ms(*delay))
        }
        Action::Probe { member } => write!(out, r#"{{"m":"check","node":{}}}"#, member.0),
        Action::Watch => write!(out, r#"{{"m":"stream_changes","on":true}}"#),
        Action::FetchList => write!(out, r#"{{"m":"resolve"}}"#),
        Action::Log(text) => {
            let line = format!("{:.1}s {text}", now as f64 / 1e6);
            write!(out, r#"{{"m":"journal_line","words":{}}}"#, Value::from(line))
        }
    };
    result.expect("writes to a string");
}

//! Staff's side: `silverspindle fleet purge status`, asked of all sources, each of which knows its own tree alone.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use serde_json::{Value, json};
use silverspindle_conf::{Conf, Sources};
use silverspindle_knowledge::protocol::Message::Subscribe;
use silverspindle_knowledge::{InstanceId, Source};
use silverspindle_relay::{Frame, Lagging, Status, bounds};

use crate::clock;
use crate::knowledge::keys::{self, Tls};
use crate::links::{self, Connector};

/// A source that does not answer within that can't be asked.
const PATIENCE: Duration = Duration::from_secs(2);
/// Who waits looks again after so long.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// Who asks, and whom.
pub struct Staff {
    sources: Vec<(String, SocketAddr)>,
    connector: Connector,
}

/// What each source says, or why it could not be asked.
pub type Heard = Vec<(String, Result<Status, String>)>;

/// How far a number has come, over all sources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number.
    pub number: u64,
    /// Whether it is done everywhere; none: not known, as a source can't be asked or has just started.
    pub everywhere: Option<bool>,
    /// Everybody below the sources that were asked has applied the log up to here.
    pub watermark: u64,
    /// Routers below them with a live lease.
    pub routers: u32,
    /// Leases that ended lately without being taken up again.
    pub expired: u32,
    /// The slowest routers, the slowest first.
    pub lagging: Vec<Lagging>,
    /// The oldest of the sources' own confirmations; none: one has none, or can't be asked.
    pub age: Option<u64>,
    /// Sources that could not be asked, and why.
    pub silent: Vec<(String, String)>,
}

impl Progress {
    /// What the sources' words come to.
    pub fn of(number: u64, heard: &Heard) -> Self {
        let said: Vec<&Status> = heard.iter().filter_map(|(_, status)| status.as_ref().ok()).collect();
        let all = said.len() == heard.len() && !said.is_empty();
        let not_known = !all || said.iter().any(|status| status.everywhere.is_none());
        let everywhere = said.iter().all(|status| status.everywhere == Some(true));
        let mut lagging: Vec<Lagging> =
            said.iter().flat_map(|status| status.summary.lagging.iter().cloned()).collect();
        lagging.sort_by_key(|lagging| lagging.applied);
        lagging.truncate(bounds::LAGGING);
        let ages: Option<Vec<u64>> = said.iter().map(|status| status.age).collect();
        let silent =
            heard.iter().filter_map(|(name, status)| Some((name.clone(), status.as_ref().err()?.clone())));
        Self {
            number,
            everywhere: (!not_known).then_some(everywhere),
            watermark: said.iter().map(|status| status.watermark).min().unwrap_or(0),
            routers: said.iter().map(|status| status.summary.routers).sum(),
            expired: said.iter().map(|status| status.summary.expired).sum(),
            lagging,
            age: ages.filter(|_| all).and_then(|ages| ages.into_iter().max()),
            silent: silent.collect(),
        }
    }

    /// For a person.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let word = match self.everywhere {
            Some(true) => "done everywhere",
            Some(false) => "not everywhere yet",
            None => "not known",
        };
        let _ = writeln!(out, "number {}: {word}", self.number);
        let age = self.age.map_or("unknown".to_owned(), |age| format!("{} ms", age / 1000));
        let _ = writeln!(out, "watermark {}, as of {age} ago", self.watermark);
        let _ =
            writeln!(out, "{} routers with a lease, {} whose lease ended lately", self.routers, self.expired);
        for Lagging { name, applied } in &self.lagging {
            let _ = writeln!(out, "slow: {name} at {applied}");
        }
        for (name, why) in &self.silent {
            let _ = writeln!(out, "source {name} can't be asked: {why}");
        }
        out
    }

    /// The same as JSON.
    pub fn json(&self) -> Value {
        let lagging = self.lagging.iter().map(|l| json!({"name": l.name, "applied": l.applied}));
        let silent = self.silent.iter().map(|(name, why)| json!({"name": name, "why": why}));
        json!({"number": self.number, "everywhere": self.everywhere, "watermark": self.watermark,
            "routers": self.routers, "expired": self.expired, "lagging": lagging.collect::<Vec<_>>(),
            "age": self.age, "silent": silent.collect::<Vec<_>>()})
    }
}

impl Staff {
    /// By the operators' file of staff: their certificate and the sources.
    pub fn new(conf: &Conf) -> Result<Self, String> {
        let Sources { sources, files } =
            conf.sources.clone().ok_or("the operators' file names no relay-source")?;
        let certificate = &files.certificate;
        let der = CertificateDer::from_pem_file(certificate)
            .map_err(|e| format!("{}: {e}", certificate.display()))?;
        let name = keys::about(&der)?.names.into_iter().next().ok_or("the certificate names nobody")?;
        let me = Source { instance: InstanceId::of(&name), incarnation: clock::now() };
        let tls = Rc::new(RefCell::new(Tls::read(&files)?));
        Ok(Self { sources, connector: Connector { me, tls } })
    }

    async fn ask(&self, (name, at): &(String, SocketAddr), number: u64) -> io::Result<Status> {
        let stream = self.connector.connect_and_send(name, *at, &Subscribe { me: self.connector.me }).await?;
        let status = |frame| if let Frame::Answer(status) = frame { Some(status) } else { None };
        let why = "is relay-role source or relay there?";
        links::ask(stream, &Frame::Ask { number }, PATIENCE, why, status).await
    }

    /// What each source says of a number, 0: its latest.
    pub async fn heard(&self, number: u64) -> Heard {
        let together = LocalExecutor::new();
        let one = async |source: &(String, SocketAddr)| {
            let status = self.ask(source, number).await;
            (source.0.clone(), status.map_err(|e| e.to_string()))
        };
        let asked: Vec<_> = self.sources.iter().map(|source| together.spawn(one(source))).collect();
        let mut all = Vec::new();
        together
            .run(async {
                for answer in asked {
                    all.push(answer.await);
                }
            })
            .await;
        all
    }

    /// How far a number has come, 0: the latest that any source has.
    pub async fn progress(&self, number: u64) -> Progress {
        let heard = self.heard(number).await;
        if number > 0 {
            return Progress::of(number, &heard);
        }
        let latest = heard.iter().filter_map(|(_, status)| Some(status.as_ref().ok()?.latest)).max();
        match latest {
            Some(latest) if latest > 0 => Progress::of(latest, &self.heard(latest).await),
            _ => Progress::of(0, &heard),
        }
    }

    /// Looks until it is done everywhere; `tell` hears of each change.
    pub async fn wait(&self, number: u64, mut tell: impl FnMut(&Progress)) {
        let mut number = number;
        let mut before = None;
        loop {
            let now = self.progress(number).await;
            // The latest as of the first look, not of each.
            number = now.number;
            let said = (now.everywhere, now.watermark, now.lagging.clone(), now.silent.len());
            if before.as_ref() != Some(&said) {
                tell(&now);
                before = Some(said);
            }
            if now.everywhere == Some(true) {
                return;
            }
            Timer::after(LOOK_AGAIN).await;
        }
    }
}

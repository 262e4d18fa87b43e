//! Logging to standard error with `tracing`: Unix time, level, module, message and fields, as text or as JSON
//! (`LB_LOG_FORMAT=json`). The number of lines per second is limited, so that misbehaving clients can neither
//! fill the disk nor use up the processor. The number of suppressed lines is logged before the next line that
//! is written.

use std::fmt;
use std::sync::Mutex;

use bitternhold::Micros;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, Json, JsonFields, Writer};
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Maximum number of log lines per second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Rate limiter that passes at most `MAX_LINES_PER_SECOND` lines in each second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    second: Micros,
    passed: u32,
    suppressed: u64,
}

impl RateLimiter {
    /// Returns the number of lines suppressed since the last one that passed if a line may be written at
    /// `now`, or none if it is suppressed.
    pub fn admit(&mut self, now: Micros) -> Option<u64> {
        if self.second != now / 1_000_000 {
            (self.second, self.passed) = (now / 1_000_000, 0);
        }
        if self.passed >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Formats the wall-clock time as Unix seconds and milliseconds, as the logs of other machines do.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer) -> fmt::Result {
        let now = crate::clock::Stamp::now().as_micros();
        write!(w, "{}.{:03}", now / 1_000_000, now / 1000 % 1000)
    }
}

/// Formatter of log lines.
struct LineFormat {
    /// Formatter for JSON output; none for text.
    json: Option<Format<Json, UnixTime>>,
    /// None where a more verbose level than info was requested: then no line is suppressed.
    limiter: Option<Mutex<RateLimiter>>,
}

impl LineFormat {
    fn write_suppressed(&self, mut w: Writer, lines: u64) -> fmt::Result {
        if self.json.is_none() {
            UnixTime.format_time(&mut w)?;
            return writeln!(w, " INFO  logging: {lines} lines left out");
        }
        write!(w, r#"{{"timestamp":""#)?;
        UnixTime.format_time(&mut w)?;
        let fields = r#""level":"INFO","fields":{"message":"lines left out","lines":"#;
        writeln!(w, r#"",{fields}{lines}}},"target":"silverspindle::logging"}}"#)
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<S, N>, mut w: Writer, event: &Event) -> fmt::Result {
        let admit = |limiter: &Mutex<RateLimiter>| match limiter.lock() {
            Ok(mut limiter) => limiter.admit(crate::clock::now()),
            Err(_) => Some(0),
        };
        let Some(suppressed) = self.limiter.as_ref().map_or(Some(0), admit) else { return Ok(()) };
        if suppressed > 0 {
            self.write_suppressed(w.by_ref(), suppressed)?;
        }
        if let Some(json) = &self.json {
            return json.format_event(ctx, w, event);
        }
        let metadata = event.metadata();
        UnixTime.format_time(&mut w)?;
        let target = metadata.target().rsplit("::").next().unwrap_or_default();
        write!(w, " {:5} {target}: ", metadata.level().as_str())?;
        ctx.field_format().format_fields(w.by_ref(), event)?;
        writeln!(w)
    }
}

/// Starts logging of lines up to this level, as text or as one JSON object per line. A second call changes
/// nothing.
pub fn init(level: LevelFilter, json: bool) {
    let limiter = (level <= LevelFilter::INFO).then(Mutex::default);
    let json_lines = json.then(|| Format::default().json().with_timer(UnixTime));
    let lines = LineFormat { json: json_lines, limiter };
    // A line that can't be written is lost. Reporting the error on the same standard error, for example on a
    // full disk, would panic.
    let builder = tracing_subscriber::fmt().log_internal_errors(false).with_max_level(level);
    let builder = builder.with_writer(std::io::stderr);
    let _ = match json {
        true => builder.fmt_fields(JsonFields::new()).event_format(lines).try_init(),
        false => builder.with_ansi(false).event_format(lines).try_init(),
    };
}

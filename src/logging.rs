//! Structured logging, as JSON or as text.

mod bounded_writer;

use log::kv::{Key, Value, VisitSource};

use crate::{cli::LogFormat, logging::bounded_writer::BoundedWriter};

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sink {
    /// Standard error, written by the thread that logs.
    StandardError,
    /// Standard output, written by a separate thread so that logging never blocks.
    StandardOutput,
}

/// Installs the process-wide logger.
///
/// `level` applies to this binary, the gateway and the platform adapters. All other crates log at
/// `level` too, but at most warnings.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub(crate) fn init(
    format: LogFormat,
    level: log::LevelFilter,
    sink: Sink,
) -> Result<(), log::SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(level.min(log::LevelFilter::Warn));
    for package in ["dogwoodway", "dogwoodway_gateway", "dogwoodway_platform"] {
        dispatch = dispatch.level_for(package, level);
    }
    dispatch = match sink {
        Sink::StandardError => dispatch.chain(std::io::stderr()),
        Sink::StandardOutput => {
            let writer: Box<dyn std::io::Write + Send> =
                Box::new(BoundedWriter::new(std::io::stdout()));
            dispatch.chain(writer)
        }
    };
    match format {
        LogFormat::Json => dispatch.format(|out, message, record| {
            let mut line = serde_json::Map::new();
            line.insert("at".to_owned(), dogwoodway_types::Timestamp::now().to_string().into());
            line.insert("level".to_owned(), record.level().as_str().into());
            line.insert("target".to_owned(), record.target().into());
            line.insert("message".to_owned(), message.to_string().into());
            let _ = record.key_values().visit(&mut FieldCollector(&mut line));
            out.finish(format_args!("{}", serde_json::Value::Object(line)));
        }),
        LogFormat::Text => dispatch.format(|out, message, record| {
            let mut fields = serde_json::Map::new();
            let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
            let fields: String = fields.iter().map(|(k, v)| format!(" {k}={v}")).collect();
            let now = dogwoodway_types::Timestamp::now();
            out.finish(format_args!("{now} {:5} {message}{fields}", record.level()));
        }),
    }
    .apply()
}

/// Copies the key-value pairs of a log record into a map.
struct FieldCollector<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.as_str().to_owned(), value.to_string().into());
        Ok(())
    }
}

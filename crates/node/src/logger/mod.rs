//! Structured log lines, written at changes of state only.

use persimmongate_core::settings::{Format, Node};
use slog::{Drain, Logger, o};

/// Makes the root logger of a daemon.
pub fn start(node: &Node) -> Logger {
    let values = o!(
        "instance" => node.instance.to_string(),
        "zone" => node.zone.to_string(),
    );
    match node.log {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), values)
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(slog_async::Async::new(drain).build().fuse(), values)
        }
    }
}

/// Makes a logger that drops every line, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

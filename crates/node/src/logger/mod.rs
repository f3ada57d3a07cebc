//! Structured log lines, written at changes of state only.

use persimmongate_core::ids;
use persimmongate_core::settings::{Format, Node};
use slog::{Drain, Logger, o};

/// Lines that wait to be written, at most; a burst of starts makes a few hundred at once.
const QUEUE: usize = 4_096;

/// Makes the root logger of a daemon.
pub fn from_settings(node: &Node) -> Logger {
    new_root(node.log_format, &node.instance, &node.zone)
}

/// Makes a root logger that writes lines of a form to standard output.
///
/// Lines wait in a bounded queue; those that don't fit are counted and dropped, so that nothing
/// waits for them.
pub fn new_root(format: Format, instance: &ids::Instance, zone: &ids::Zone) -> Logger {
    let values = o!(
        "instance" => instance.to_string(),
        "zone" => zone.to_string(),
    );
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            Logger::root(
                slog_async::Async::new(drain)
                    .chan_size(QUEUE)
                    .build()
                    .fuse(),
                values,
            )
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(
                slog_async::Async::new(drain)
                    .chan_size(QUEUE)
                    .build()
                    .fuse(),
                values,
            )
        }
    }
}

/// Makes a logger that drops every line, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

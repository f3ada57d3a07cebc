//! Structured logging; lines are written at changes of state only.

use persimmongate_core::ids;
use persimmongate_core::settings::{Format, Node};
use slog::{Drain, Logger, o};

/// Maximum number of lines waiting to be written; a burst of starts logs a few hundred at once.
const QUEUE_CAPACITY: usize = 4_096;

/// Creates the root logger of a daemon from its settings.
pub fn from_settings(node: &Node) -> Logger {
    new_root(node.log_format, &node.instance, &node.zone)
}

/// Creates a root logger that writes lines in a format to standard output.
///
/// Lines are queued, and written by a thread of their own. A full queue drops and counts further
/// lines, so that logging never blocks.
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
                    .chan_size(QUEUE_CAPACITY)
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
                    .chan_size(QUEUE_CAPACITY)
                    .build()
                    .fuse(),
                values,
            )
        }
    }
}

/// Creates a logger that drops every line, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

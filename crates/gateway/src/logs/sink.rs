use {
    super::line::on_one_line,
    crate::clock::wall_ms,
    flume::{Receiver, Sender, TrySendError},
    log::{Level, LevelFilter, Log, Metadata, Record},
    std::{
        io::{self, Write},
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::Duration,
    },
};

/// Log target of lines about the process itself and its dependencies.
///
/// Like failures they are exempt from the rate limit: there are few of them,
/// and the end of an instance must always be found in its log.
pub const LIFECYCLE: &str = "mangowalk::lifecycle";

/// Bounds on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Maximum number of lines in each queue while standard output isn't read.
    pub queue_lines: usize,
    /// Maximum number of ordinary lines per second. Further ones are dropped and
    /// counted; failures and lifecycle lines are exempt.
    pub lines_per_s: u64,
    /// Milliseconds between two writes, so that one write takes many lines.
    pub batch_ms: u64,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            queue_lines: 2_048,
            lines_per_s: 150,
            batch_ms: 100,
        }
    }
}

/// Queues log lines for standard output.
///
/// A write blocks while standard output isn't read, so a separate thread
/// writes. Lines that don't fit a queue are dropped and counted. Failures and
/// lifecycle lines have their own queue, which is written first.
struct Sink {
    settings: LogSettings,
    instance: String,
    priority: Sender<String>,
    ordinary: Sender<String>,
    current_second: AtomicU64,
    lines_in_second: AtomicU64,
    dropped: AtomicU64,
}

/// Sends the program's log to standard output. Each line carries the wall clock
/// and the instance's name.
///
/// # Errors
///
/// Fails if a logger is already installed, or if the writer thread can't be
/// started.
pub fn install(settings: LogSettings, instance: &str) -> io::Result<()> {
    let (priority, priority_lines) = flume::bounded(settings.queue_lines);
    let (ordinary, ordinary_lines) = flume::bounded(settings.queue_lines);
    let sink = Sink {
        settings,
        instance: instance.to_owned(),
        priority,
        ordinary,
        current_second: AtomicU64::new(0),
        lines_in_second: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    };
    log::set_boxed_logger(Box::new(sink)).map_err(io::Error::other)?;
    log::set_max_level(LevelFilter::Info);
    let batch_interval = Duration::from_millis(settings.batch_ms);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&priority_lines, &ordinary_lines, batch_interval))?;
    Ok(())
}

fn write_lines(priority: &Receiver<String>, ordinary: &Receiver<String>, batch_interval: Duration) {
    let mut text = String::new();
    loop {
        // Waits for a line from either queue, then drains both.
        let first = flume::Selector::new()
            .recv(priority, |line| line)
            .recv(ordinary, |line| line)
            .wait();
        let Ok(first) = first else {
            return;
        };
        text.push_str(&first);
        for line in priority.try_iter().chain(ordinary.try_iter()) {
            text.push_str(&line);
        }
        // A closed standard output must not stop the instance.
        let _ = io::stdout().write_all(text.as_bytes());
        text.clear();
        thread::sleep(batch_interval);
    }
}

impl Sink {
    /// Counts an ordinary line, and returns whether it is within the limit of its
    /// second.
    fn is_within_rate(&self, wall_ms: u64) -> bool {
        let second = wall_ms / 1_000;
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        self.lines_in_second.fetch_add(1, Ordering::Relaxed) < self.settings.lines_per_s
    }

    fn count_dropped_line(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}

impl Log for Sink {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info && metadata.target().starts_with("mangowalk")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let wall_ms = wall_ms();
        let is_priority = record.level() <= Level::Warn || record.target() == LIFECYCLE;
        if !is_priority && !self.is_within_rate(wall_ms) {
            return self.count_dropped_line();
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = format!(
            "wall_ms={wall_ms} instance={} level={} {}",
            self.instance,
            record.level(),
            on_one_line(record.args().to_string())
        );
        if dropped > 0 {
            line.push_str(&format!(" dropped_lines={dropped}"));
        }
        line.push('\n');
        let queue = if is_priority {
            &self.priority
        } else {
            &self.ordinary
        };
        if let Err(TrySendError::Full(_)) = queue.try_send(line) {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
            self.count_dropped_line();
        }
    }

    fn flush(&self) {}
}

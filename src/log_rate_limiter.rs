//! Bounds the volume of logs, and writes them without waiting for a reader.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tracing::Level;

/// Lines of level INFO allowed a second on average. At some 300 bytes a line this is about 6 KB a
/// second for each process.
const LINES_PER_S: u64 = 20;

/// Lines of level INFO allowed at once.
const BURST_LINES: u64 = 100;

/// Lines of level INFO below which only warnings and errors are written.
const RESERVED_LINES: u64 = 20;

/// Thousandths of a line in one; the rate is counted in them.
const MILLI: u64 = 1_000;

/// Longest line; a pipe takes as much at once or nothing.
const MAX_LINE_BYTES: usize = 4_096;

/// Token bucket of log lines, with a count of those left out.
#[derive(Debug)]
pub struct LogRateLimiter {
    bucket: Mutex<Bucket>,
    dropped_lines: AtomicU64,
}

#[derive(Debug)]
struct Bucket {
    lines_milli: u64,
    refilled_ms: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let bucket = Bucket {
            lines_milli: BURST_LINES * MILLI,
            refilled_ms: 0,
        };
        Self {
            bucket: Mutex::new(bucket),
            dropped_lines: AtomicU64::new(0),
        }
    }
}

impl LogRateLimiter {
    /// Returns whether a line may be written; one that may not is counted.
    ///
    /// Warnings and errors have lines of their own when the others are used up.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::log_rate_limiter::LogRateLimiter;
    /// use tracing::Level;
    /// let limit = LogRateLimiter::default();
    /// let written = (0..1_000).filter(|_| limit.allows(Level::INFO, 0)).count();
    /// assert!(written < 100);
    /// assert!(limit.allows(Level::WARN, 0));
    /// assert_eq!(limit.take_dropped_lines(), 1_000 - written as u64);
    /// ```
    pub fn allows(&self, level: Level, now_ms: u64) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let passed_ms = now_ms.saturating_sub(bucket.refilled_ms);
        let filled = bucket.lines_milli.saturating_add(passed_ms * LINES_PER_S);
        bucket.lines_milli = filled.min(BURST_LINES * MILLI);
        bucket.refilled_ms = now_ms;
        let reserved = if level < Level::INFO {
            0
        } else {
            RESERVED_LINES
        };
        if bucket.lines_milli < (reserved + 1) * MILLI {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        bucket.lines_milli -= MILLI;
        true
    }

    /// Returns how many lines were left out since the last question.
    pub fn take_dropped_lines(&self) -> u64 {
        self.dropped_lines.swap(0, Ordering::Relaxed)
    }
}

/// Standard output that drops a line instead of waiting for its reader.
#[derive(Debug)]
pub struct NonBlockingStdout {
    limit: Arc<LogRateLimiter>,
}

impl NonBlockingStdout {
    /// Makes a writer that counts what it drops.
    pub fn new(limit: Arc<LogRateLimiter>) -> Self {
        Self { limit }
    }
}

impl Write for NonBlockingStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
        let stdout = io::stdout();
        if !is_writable(&stdout) {
            self.limit.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut stdout = stdout.lock();
        let dropped_lines = self.limit.take_dropped_lines();
        if dropped_lines > 0 {
            writeln!(
                stdout,
                "level=warn event=log_lines_dropped count={dropped_lines}"
            )?;
        }
        stdout.write_all(truncated)?;
        stdout.flush()?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns whether a write of one line would not wait.
fn is_writable(stdout: &io::Stdout) -> bool {
    let mut descriptors = [PollFd::new(stdout, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = poll(&mut descriptors, Some(&at_once));
    ready.is_ok() && descriptors[0].revents().contains(PollFlags::OUT)
}

//! Limits the rate of log lines and writes them without blocking on the reader of standard output.
//!
//! Under a burst of events, or with a reader that has stalled, lines are dropped and counted so
//! that logging does not delay requests.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tracing::Level;

/// Sustained rate of log lines per second. At about 300 bytes a line this is about 6 KB/s for each
/// process.
const LINES_PER_S: u64 = 20;

/// Capacity of the bucket in lines. INFO lines can't use the last `RESERVED_LINES` of them.
const BURST_LINES: u64 = 100;

/// Lines reserved for warnings and errors: INFO lines are dropped once only these are left.
const RESERVED_LINES: u64 = 20;

/// Thousandths of a line per line. The bucket counts in thousandths because a rate per second times
/// milliseconds yields these.
const MILLILINES_PER_LINE: u64 = 1_000;

/// Length in bytes at which lines are truncated; a pipe accepts a write of up to this size whole or
/// not at all.
const MAX_LINE_BYTES: usize = 4_096;

/// Token bucket of log lines, with a count of the lines dropped.
#[derive(Debug)]
pub struct LogRateLimiter {
    bucket: Mutex<Bucket>,
    dropped_lines: AtomicU64,
}

#[derive(Debug)]
struct Bucket {
    available_millilines: u64,
    last_refill_ms: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        let bucket = Bucket {
            available_millilines: BURST_LINES * MILLILINES_PER_LINE,
            last_refill_ms: 0,
        };
        Self {
            bucket: Mutex::new(bucket),
            dropped_lines: AtomicU64::new(0),
        }
    }
}

impl LogRateLimiter {
    /// Takes a token for a line and returns whether the line may be written. One without a token is
    /// counted as dropped.
    ///
    /// Warnings and errors may also use the reserved lines.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::log_rate_limiter::LogRateLimiter;
    /// use tracing::Level;
    /// let limiter = LogRateLimiter::default();
    /// let written = (0..1_000).filter(|_| limiter.try_acquire(Level::INFO, 0)).count();
    /// assert!(written < 100);
    /// assert!(limiter.try_acquire(Level::WARN, 0));
    /// assert_eq!(limiter.take_dropped_lines(), 1_000 - written as u64);
    /// ```
    pub fn try_acquire(&self, level: Level, now_ms: u64) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed_ms = now_ms.saturating_sub(bucket.last_refill_ms);
        let refilled_millilines = bucket
            .available_millilines
            .saturating_add(elapsed_ms * LINES_PER_S);
        bucket.available_millilines = refilled_millilines.min(BURST_LINES * MILLILINES_PER_LINE);
        bucket.last_refill_ms = now_ms;
        let reserved_lines = if level < Level::INFO {
            0
        } else {
            RESERVED_LINES
        };
        if bucket.available_millilines < (reserved_lines + 1) * MILLILINES_PER_LINE {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        bucket.available_millilines -= MILLILINES_PER_LINE;
        true
    }

    /// Returns the number of lines dropped since the last call, and resets it.
    pub fn take_dropped_lines(&self) -> u64 {
        self.dropped_lines.swap(0, Ordering::Relaxed)
    }
}

/// Writer to standard output that drops a line instead of blocking on the reader.
#[derive(Debug)]
pub struct NonBlockingStdout {
    limiter: Arc<LogRateLimiter>,
}

impl NonBlockingStdout {
    /// Creates a writer that counts dropped lines in `limiter`.
    pub fn new(limiter: Arc<LogRateLimiter>) -> Self {
        Self { limiter }
    }
}

impl Write for NonBlockingStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
        let stdout = io::stdout();
        if !is_writable(&stdout) {
            self.limiter.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let mut stdout = stdout.lock();
        let dropped_lines = self.limiter.take_dropped_lines();
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

/// Returns whether a write of one line would not block.
fn is_writable(stdout: &io::Stdout) -> bool {
    let mut poll_fds = [PollFd::new(stdout, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let ready = poll(&mut poll_fds, Some(&no_wait));
    ready.is_ok() && poll_fds[0].revents().contains(PollFlags::OUT)
}

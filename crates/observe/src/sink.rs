//! Asynchronous log output that never blocks the code that logs.
//!
//! A dedicated thread writes the lines from a bounded queue. When the reader of the
//! output is slow and the queue is full, lines are dropped and counted.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction, Record};
use log::Level;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::time::Duration;

/// Capacity of the queue. At 300 bytes per line, a full queue takes 0.6 MB.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected into one batch; a process that is killed
/// loses the lines of this interval.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for the last lines to be written at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Batch size in bytes at which a batch is written without collecting more lines.
const BATCH_BYTES: usize = 32 * 1024;

/// An entry of the queue.
enum Item {
    /// A formatted line, with its newline.
    Line(Vec<u8>),
    /// Asks for a notification when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Log writer that queues lines for the output thread.
pub struct Sink {
    tx: SyncSender<Item>,
    format_line: FormatFunction,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the output thread, which writes lines to `out`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        format_line: FormatFunction,
        out: impl Send + Write + 'static,
    ) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            out,
            format_line,
            dropped: Arc::clone(&dropped),
        };
        let thread = std::thread::Builder::new().name("log".into());
        thread.spawn(move || writer.run(&rx))?;
        Ok(Self {
            tx,
            format_line,
            dropped,
        })
    }
}

impl LogWriter for Sink {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format_line)(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Item::Flush(tx)).is_ok() {
            // A stalled reader of the output must not delay the exit of the process.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _ = self.flush();
    }
}

/// State of the output thread.
struct Writer<W> {
    out: W,
    format_line: FormatFunction,
    dropped: Arc<AtomicU64>,
}

impl<W: Write> Writer<W> {
    /// Writes lines until the queue is closed.
    fn run(mut self, rx: &Receiver<Item>) {
        let mut batch = Vec::new();
        while let Ok(first) = rx.recv() {
            if matches!(first, Item::Line(_)) {
                std::thread::sleep(BATCH_DELAY);
            }
            let mut waiting = Vec::new();
            let mut next = Ok(first);
            while let Ok(item) = next {
                match item {
                    Item::Line(line) => batch.extend_from_slice(&line),
                    Item::Flush(tx) => waiting.push(tx),
                }
                if batch.len() >= BATCH_BYTES {
                    break;
                }
                next = rx.try_recv().map_err(|_: TryRecvError| ());
            }
            self.append_dropped_warning(&mut batch);
            // There is nowhere else to report that the output is closed.
            let _ = self.out.write_all(&batch).and_then(|()| self.out.flush());
            batch.clear();
            for tx in waiting {
                let _ = tx.send(());
            }
        }
    }

    /// Appends a warning with the number of dropped lines, if there are any.
    fn append_dropped_warning(&self, batch: &mut Vec<u8>) {
        let lines = self.dropped.swap(0, Ordering::Relaxed);
        if lines == 0 {
            return;
        }
        let fields = [("lines", lines)];
        let mut record = Record::builder();
        record.level(Level::Warn).target(crate::part::PROGRAM);
        record.key_values(&fields);
        let args = format_args!("log lines were left out: the output is read too slowly");
        let record = record.args(args).build();
        if (self.format_line)(batch, &mut DeferredNow::new(), &record).is_ok() {
            batch.push(b'\n');
        }
    }
}

//! Writes log lines without ever holding up the code that logs.
//!
//! Lines go through a bounded queue to a thread of their own. When the reader of
//! the output is slow and the queue is full, lines are left out and counted.

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction, Record};
use log::Level;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::time::Duration;

/// Lines that wait to be written. At 300 bytes each, a full queue takes 0.6 MB.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are collected before they are written together; a
/// process that is killed loses the lines of this time.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for the last lines of a process that ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes that are written with one call.
const BATCH_BYTES: usize = 32 * 1024;

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The queue to the thread that writes.
pub struct Sink {
    tx: SyncSender<Item>,
    form: FormatFunction,
    left_out: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(form: FormatFunction, out: impl Send + Write + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            out,
            form,
            left_out: Arc::clone(&left_out),
        };
        let thread = std::thread::Builder::new().name("log".into());
        thread.spawn(move || writer.run(&rx))?;
        Ok(Self { tx, form, left_out })
    }
}

impl LogWriter for Sink {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.form)(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(Item::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (tx, rx) = sync_channel(1);
        if self.tx.try_send(Item::Flush(tx)).is_ok() {
            // A reader that does not read must not hold up the end of a process.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _ = self.flush();
    }
}

struct Writer<W> {
    out: W,
    form: FormatFunction,
    left_out: Arc<AtomicU64>,
}

impl<W: Write> Writer<W> {
    /// Writes lines until the queue is closed or the output fails for good.
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
            self.tell_left_out(&mut batch);
            // There is nowhere else to report that the output is closed.
            let _ = self.out.write_all(&batch).and_then(|()| self.out.flush());
            batch.clear();
            for tx in waiting {
                let _ = tx.send(());
            }
        }
    }

    fn tell_left_out(&self, batch: &mut Vec<u8>) {
        let lines = self.left_out.swap(0, Ordering::Relaxed);
        if lines == 0 {
            return;
        }
        let fields = [("lines", lines)];
        let mut record = Record::builder();
        record.level(Level::Warn).target(crate::part::PROGRAM);
        record.key_values(&fields);
        let args = format_args!("log lines were left out: the output is read too slowly");
        let record = record.args(args).build();
        if (self.form)(batch, &mut DeferredNow::new(), &record).is_ok() {
            batch.push(b'\n');
        }
    }
}

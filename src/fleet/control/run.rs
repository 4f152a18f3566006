//! Order in which the event loop handles ticks, frames, events and confirmed writes.

use std::time::{Duration, Instant};

use eyre::Result;
use tokio::sync::mpsc;

use crate::{
    adapters::disk_queue::Confirmations,
    fleet::{
        control::{ControlLoop, Event, TICK},
        link::Inbound,
        runtime::Ports,
    },
};

/// Time after which the event loop stops handling what has arrived, so that ticks and outgoing
/// frames are not delayed by a full queue. A control host may have a seventh of a processor.
const MAX_BATCH: Duration = Duration::from_millis(25);

/// What the event loop has to do next.
enum Wake {
    /// So many writes were synced to disk.
    Synced(usize),
    Inbound(Inbound),
    Event(Event),
    Tick,
}

impl<P: Ports> ControlLoop<P> {
    /// Runs until an error occurs or all event senders are dropped.
    pub async fn run(
        mut self,
        mut inbound: mpsc::Receiver<Inbound>,
        mut events: mpsc::Receiver<Event>,
        mut confirmations: Confirmations,
    ) -> Result<()> {
        let mut ticks = tokio::time::interval(TICK.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticked_at = Instant::now();
        loop {
            let wake = tokio::select! {
                biased;
                Some(confirmed) = confirmations.recv() => Wake::Synced(confirmed?),
                Some(message) = inbound.recv() => Wake::Inbound(message),
                event = events.recv() => match event {
                    Some(event) => Wake::Event(event),
                    None => return Ok(()),
                },
                _ = ticks.tick() => Wake::Tick,
            };
            let began = Instant::now();
            let is_tick = matches!(wake, Wake::Tick);
            match wake {
                Wake::Synced(count) => self.confirm(count)?,
                Wake::Inbound(message) => self.handle_inbound(message)?,
                Wake::Event(event) => self.handle_event(event),
                Wake::Tick => {}
            }
            self.handle_waiting(began, &mut inbound, &mut events)?;
            // The interval only advances while the loop waits.
            if is_tick || ticked_at.elapsed() >= TICK.duration() {
                ticked_at = Instant::now();
                self.tick()?;
            }
            self.finish_batch()?;
            self.record_load(began);
            if !inbound.is_empty() || !events.is_empty() {
                // Connections send what the batch has queued.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Handles what has arrived, in turn from both queues, until the batch that `began` is full.
    fn handle_waiting(
        &mut self,
        began: Instant,
        inbound: &mut mpsc::Receiver<Inbound>,
        events: &mut mpsc::Receiver<Event>,
    ) -> Result<()> {
        loop {
            let (message, event) = (inbound.try_recv().ok(), events.try_recv().ok());
            if message.is_none() && event.is_none() {
                return Ok(());
            }
            if let Some(message) = message {
                self.handle_inbound(message)?;
            }
            if let Some(event) = event {
                self.handle_event(event);
            }
            if began.elapsed() >= MAX_BATCH {
                return Ok(());
            }
        }
    }
}

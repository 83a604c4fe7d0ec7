//! The thread that owns the replicas of a VM.
//!
//! State and disk syncs are on one thread: what waits while a sync runs is taken together afterwards
//! and shares the next sync. At 10,000 claims a second and 2 ms a sync that is 20 claims a sync; a
//! sync for each claim would carry 500.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc as std_mpsc,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    disk::store::StoreOpener,
    fault::{ControlError, RefusalReason, ReplicaFault},
    group::{GroupAnswer, GroupRequest, RequestNumber, TICK_PERIOD},
    packet::ReplicaPacket,
    runner::GroupRunner,
    settings::ReplicaSettings,
    state::{
        command::{LedgerView, StateAnswer, StateCommand},
        config::ConfigState,
        machine::GroupState,
    },
};
use arc_swap::ArcSwap;
use log::error;
use model::{
    config::FleetConfig,
    ledger::{ClaimAnswer, KeyClaim, KeyClose},
    moment::Moment,
    numbers::GroupNumber,
    report::GroupRow,
};
use tokio::sync::{mpsc, oneshot, watch};

/// How many events may wait for the thread. What comes beyond is refused at once.
pub(crate) const INBOX_LIMIT: usize = 8_192;

/// How many events are taken before the disk is synced and answers go out. It bounds how long the
/// first of them waits for the others.
const BATCH_LIMIT: usize = 4_096;

/// How often requests are looked through for those that nobody waits for any more.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// The end of a request, on its way to whoever asked.
pub(crate) type AnswerSender = oneshot::Sender<Result<GroupAnswer, ReplicaFault>>;

/// What is asked of a group.
pub(crate) enum DriverAsk {
    Request(GroupRequest),
    Claim(KeyClaim),
    Close(KeyClose),
    Snapshot,
}

/// What the thread is told.
pub(crate) enum DriverEvent {
    Packet(ReplicaPacket),
    Ask { group: GroupNumber, ask: DriverAsk, asked: Instant, answer: AnswerSender },
}

/// What the thread publishes.
pub(crate) struct DriverView {
    pub(crate) config: watch::Sender<FleetConfig>,
    pub(crate) state: ArcSwap<ConfigState>,
    pub(crate) rows: ArcSwap<Vec<GroupRow>>,
    pub(crate) failure: watch::Sender<Option<Arc<ControlError>>>,
    pub(crate) stop: AtomicBool,
}

/// The state of the thread.
pub(crate) struct ReplicaDriver {
    settings: ReplicaSettings,
    opener: Box<dyn StoreOpener>,
    packets: mpsc::Sender<ReplicaPacket>,
    view: Arc<DriverView>,
    origin: Instant,
    groups: BTreeMap<GroupNumber, GroupRunner>,
    waiting: HashMap<RequestNumber, AnswerSender>,
    next_request: u64,
    forget_at: Instant,
}

impl ReplicaDriver {
    /// Opens the groups that have a store, and at least the configuration and one ledger.
    pub(crate) fn open(
        settings: ReplicaSettings,
        opener: Box<dyn StoreOpener>,
        packets: mpsc::Sender<ReplicaPacket>,
        view: Arc<DriverView>,
    ) -> Result<Self, ControlError> {
        let stored = opener.groups()?;
        let mut driver = Self {
            settings,
            opener,
            packets,
            view,
            origin: Instant::now(),
            groups: BTreeMap::new(),
            waiting: HashMap::new(),
            next_request: 0,
            forget_at: Instant::now(),
        };
        for group in [GroupNumber::CONFIG, GroupNumber::FIRST_LEDGER].into_iter().chain(stored) {
            driver.open_group(group)?;
        }
        driver.publish()?;
        Ok(driver)
    }

    fn open_group(&mut self, group: GroupNumber) -> Result<(), ControlError> {
        if self.groups.contains_key(&group) {
            return Ok(());
        }
        let opened = self.opener.open_group(group)?;
        let now = self.now();
        let runner = GroupRunner::open(group, &self.settings, opened, self.packets.clone(), now)?;
        self.groups.insert(group, runner);
        Ok(())
    }

    fn now(&self) -> Moment {
        Moment::ZERO + self.origin.elapsed()
    }

    /// Runs until the last handle is dropped or a disk cannot be trusted any more.
    pub(crate) fn run(mut self, events: &std_mpsc::Receiver<DriverEvent>) {
        if let Err(failure) = self.run_until_end(events) {
            error!(failure:% = failure; "the replicas of this VM have to end");
            self.view.failure.send_replace(Some(Arc::new(failure)));
        }
    }

    fn run_until_end(
        &mut self,
        events: &std_mpsc::Receiver<DriverEvent>,
    ) -> Result<(), ControlError> {
        let mut tick_at = Instant::now();
        loop {
            let wait = tick_at.saturating_duration_since(Instant::now());
            match events.recv_timeout(wait) {
                Ok(event) => self.handle_batch(event, events)?,
                Err(std_mpsc::RecvTimeoutError::Timeout) => (),
                Err(std_mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
            }
            if self.view.stop.load(Ordering::Acquire) {
                return Ok(());
            }
            if Instant::now() >= tick_at {
                tick_at = Instant::now() + TICK_PERIOD;
                self.tick()?;
            }
            self.flush()?;
        }
    }

    fn handle_batch(
        &mut self,
        first: DriverEvent,
        events: &std_mpsc::Receiver<DriverEvent>,
    ) -> Result<(), ControlError> {
        let rest = events.try_iter().take(BATCH_LIMIT);
        for event in std::iter::once(first).chain(rest) {
            if self.view.stop.load(Ordering::Acquire) {
                return Ok(());
            }
            self.handle(event)?;
        }
        Ok(())
    }

    fn handle(&mut self, event: DriverEvent) -> Result<(), ControlError> {
        let now = self.now();
        match event {
            DriverEvent::Packet(packet) => match self.groups.get_mut(&packet.group) {
                Some(runner) => runner.receive(now, &packet),
                None => Ok(()),
            },
            DriverEvent::Ask { group, ask, asked, answer } => {
                self.handle_ask(now, group, ask, asked, answer)
            }
        }
    }

    fn handle_ask(
        &mut self,
        now: Moment,
        group: GroupNumber,
        ask: DriverAsk,
        asked: Instant,
        answer: AnswerSender,
    ) -> Result<(), ControlError> {
        if answer.is_closed() {
            return Ok(());
        }
        let view = self.ledger_view();
        let Some(runner) = self.groups.get_mut(&group) else {
            let reason = RefusalReason::UnknownGroup { group };
            reply(answer, Err(ReplicaFault::Refused { reason }));
            return Ok(());
        };
        let request = match ask {
            DriverAsk::Request(request) => request,
            DriverAsk::Claim(claim) if is_late(&claim, asked) => {
                // Its entry has told its caller by now that nothing was run. Recorded, it would only
                // keep the caller's next try out.
                reply(answer, Ok(GroupAnswer::State(StateAnswer::Claim(ClaimAnswer::Late))));
                return Ok(());
            }
            DriverAsk::Claim(claim) => GroupRequest::Command(StateCommand::Claim { view, claim }),
            DriverAsk::Close(close) => GroupRequest::Command(StateCommand::Close { view, close }),
            DriverAsk::Snapshot => {
                return runner.begin_cut(Some(answer));
            }
        };
        self.next_request += 1;
        let number = RequestNumber(self.next_request);
        match runner.request(now, number, request)? {
            Ok(()) => drop(self.waiting.insert(number, answer)),
            Err(fault) => reply(answer, Err(fault)),
        }
        Ok(())
    }

    fn ledger_view(&self) -> LedgerView {
        let state = self.view.state.load();
        let settings = state.config().settings();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        LedgerView {
            wall_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            keep_ms: settings.keep_keys_ms,
            keys_limit: settings.keys_limit,
        }
    }

    fn tick(&mut self) -> Result<(), ControlError> {
        let now = self.now();
        for runner in self.groups.values_mut() {
            runner.tick(now)?;
            runner.end_cut()?;
            runner.cut_when_long()?;
        }
        if Instant::now() >= self.forget_at {
            self.forget_at = Instant::now() + FORGET_PERIOD;
            self.waiting.retain(|_, answer| !answer.is_closed());
            for runner in self.groups.values_mut() {
                runner.forget_gone(&self.waiting);
            }
        }
        self.open_new_groups()
    }

    /// Opens ledger groups that the configuration names and that are not open yet.
    fn open_new_groups(&mut self) -> Result<(), ControlError> {
        let wanted = self.view.state.load().config().settings().ledger_groups;
        let first = GroupNumber::FIRST_LEDGER.0;
        for number in first..first.saturating_add(wanted) {
            self.open_group(GroupNumber(number))?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), ControlError> {
        let mut ends = Vec::new();
        for runner in self.groups.values_mut() {
            let now = Moment::ZERO + self.origin.elapsed();
            ends.append(&mut runner.flush(now)?);
        }
        // Whoever gets an answer finds what it says in the views.
        self.publish()?;
        for (number, end) in ends {
            if let Some(answer) = self.waiting.remove(&number) {
                reply(answer, end);
            }
        }
        // The log is written anew by now.
        for (answer, end) in self.groups.values_mut().flat_map(GroupRunner::take_cut_ends) {
            reply(answer, end);
        }
        Ok(())
    }

    fn publish(&mut self) -> Result<(), ControlError> {
        let rows: Vec<GroupRow> = self.groups.values().map(|runner| runner.replica.row()).collect();
        if **self.view.rows.load() != rows {
            self.view.rows.store(Arc::new(rows));
        }
        let Some(runner) = self.groups.get(&GroupNumber::CONFIG) else { return Ok(()) };
        let GroupState::Config(state) = runner.replica.state() else { return Ok(()) };
        if !self.view.state.load().is_same(state) {
            self.view.state.store(Arc::new(state.as_ref().clone()));
            let config = state.config();
            if self.view.config.borrow().number() < config.number() {
                self.view.config.send_replace(config.clone());
            }
        }
        Ok(())
    }
}

fn reply(answer: AnswerSender, end: Result<GroupAnswer, ReplicaFault>) {
    // Whoever asked may have gone.
    let _ = answer.send(end);
}

fn is_late(claim: &KeyClaim, asked: Instant) -> bool {
    asked.elapsed() > Duration::from_millis(u64::from(claim.within_ms))
}

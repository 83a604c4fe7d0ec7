//! Callers of a [`World`](super::World): what they ask, and what no answer may say.

#![allow(unreachable_pub, reason = "shared by the test files")]

use std::collections::BTreeMap;

use control::{
    fault::ReplicaFault,
    group::{GroupAnswer, GroupRequest, RequestNumber},
    state::command::{LedgerView, StateAnswer, StateCommand},
};
use model::{
    config::ServiceRule,
    ledger::{BodyDigest, CallKey, ClaimAnswer, KeyClaim, KeyClose, RecordedAnswer, RunEnd},
    numbers::{AttemptNumber, ConfigNumber, GroupNumber},
    patch::{ConfigChange, ConfigPatch, PatchId, PatchRefusal, PatchResult},
};
use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

/// How long the ledgers of these worlds keep keys: short, so that schedules reach the end of it.
const KEEP_MS: u64 = 5_000;

#[derive(Clone, Debug)]
struct KeyRun {
    claimant: u64,
    ran: bool,
    close: Option<KeyClose>,
}

/// The callers and what they know.
pub struct WorldClient {
    group: GroupNumber,
    next: u64,
    asked: BTreeMap<RequestNumber, (GroupRequest, u64)>,
    patches: Vec<ConfigPatch>,
    results: BTreeMap<PatchId, PatchResult>,
    numbers: BTreeMap<ConfigNumber, PatchId>,
    acknowledged: u64,
    keys: Vec<KeyClaim>,
    runs: BTreeMap<(CallKey, AttemptNumber), KeyRun>,
    pub answered: u64,
}

impl WorldClient {
    pub fn open(group: GroupNumber) -> Self {
        Self {
            group,
            next: 0,
            asked: BTreeMap::new(),
            patches: Vec::new(),
            results: BTreeMap::new(),
            numbers: BTreeMap::new(),
            acknowledged: 0,
            keys: Vec::new(),
            runs: BTreeMap::new(),
            answered: 0,
        }
    }

    pub fn next_number(&mut self) -> RequestNumber {
        self.next += 1;
        RequestNumber(self.next)
    }

    pub fn sent(&mut self, number: RequestNumber, request: GroupRequest) {
        self.asked.insert(number, (request, self.acknowledged));
    }

    pub fn asked(&self, number: RequestNumber) -> bool {
        self.asked.contains_key(&number)
    }

    pub fn draw(&mut self, random: &mut Pcg64Mcg, wall_ms: u64) -> GroupRequest {
        if self.group != GroupNumber::CONFIG {
            return GroupRequest::Command(self.draw_ledger(random, wall_ms));
        }
        match random.random_range(0..10) {
            0..3 => GroupRequest::Confirm,
            3..6 if !self.patches.is_empty() => {
                let patch = self.patches.choose(random).unwrap().clone();
                GroupRequest::Command(StateCommand::Patch(patch))
            }
            _ => {
                let lag = random.random_range(0..2);
                let patch = self.new_patch(self.acknowledged.saturating_sub(lag));
                GroupRequest::Command(StateCommand::Patch(patch))
            }
        }
    }

    pub fn new_patch(&mut self, base: u64) -> ConfigPatch {
        let count = self.patches.len() as u128 + 1;
        let name = format!("service-{}", count % 5).parse().unwrap();
        let rule = ServiceRule { floor_slots: u32::try_from(count).unwrap(), ..Default::default() };
        let patch = ConfigPatch {
            id: PatchId(Uuid::from_u128(count)),
            base: ConfigNumber(base),
            author: "test".to_owned(),
            changes: vec![ConfigChange::PutService { name, rule }],
        };
        self.patches.push(patch.clone());
        patch
    }

    fn draw_ledger(&mut self, random: &mut Pcg64Mcg, wall_ms: u64) -> StateCommand {
        let view = LedgerView { wall_ms, keep_ms: KEEP_MS, keys_limit: 6 };
        let closes: Vec<&KeyClose> =
            self.runs.values().filter_map(|run| run.close.as_ref()).collect();
        if random.random_ratio(1, 3)
            && let Some(close) = closes.choose(random)
        {
            return StateCommand::Close { view, close: (*close).clone() };
        }
        let claim = self.draw_claim(random, wall_ms);
        StateCommand::Claim { view, claim }
    }

    /// A resend of a claim, another caller's claim of the same key, or a new key.
    fn draw_claim(&mut self, random: &mut Pcg64Mcg, wall_ms: u64) -> KeyClaim {
        let recent = &self.keys[self.keys.len().saturating_sub(6)..];
        match (recent.choose(random).cloned(), random.random_range(0..10)) {
            (Some(claim), 0..4) => claim,
            (Some(claim), 4..8) => {
                let claim = KeyClaim { claimant: random.random(), ..claim };
                self.keys.push(claim.clone());
                claim
            }
            _ => {
                let claim = KeyClaim {
                    key: CallKey::from_parts(wall_ms, random.random()),
                    service: "judgebox".parse().unwrap(),
                    digest: BodyDigest([7; 32]),
                    claimant: random.random(),
                    within_ms: 1_000,
                };
                self.keys.push(claim.clone());
                claim
            }
        }
    }

    /// Checks the end of a request.
    pub fn on_end(
        &mut self,
        random: &mut Pcg64Mcg,
        number: RequestNumber,
        end: Result<GroupAnswer, ReplicaFault>,
    ) {
        let Some((request, acknowledged)) = self.asked.remove(&number) else { return };
        let Ok(answer) = end else { return };
        self.answered += 1;
        match (request, answer) {
            (GroupRequest::Confirm, GroupAnswer::Confirmed(seen)) => {
                assert!(seen >= acknowledged, "a read of {seen} after {acknowledged} was accepted");
            }
            (
                GroupRequest::Command(StateCommand::Patch(patch)),
                GroupAnswer::State(StateAnswer::Patch(result)),
            ) => self.on_patch(&patch, result),
            (
                GroupRequest::Command(StateCommand::Claim { claim, .. }),
                GroupAnswer::State(StateAnswer::Claim(answer)),
            ) => self.on_claim(random, &claim, answer),
            (GroupRequest::Command(StateCommand::Close { .. }), GroupAnswer::State(_)) => (),
            (request, answer) => panic!("{answer:?} to {request:?}"),
        }
    }

    fn on_patch(&mut self, patch: &ConfigPatch, result: PatchResult) {
        let first = self.results.entry(patch.id).or_insert_with(|| result.clone());
        assert_eq!(*first, result, "a resend got another result");
        match result {
            Ok(number) => {
                assert_eq!(number, patch.base.next(), "accepted on another base");
                let holder = *self.numbers.entry(number).or_insert(patch.id);
                assert_eq!(holder, patch.id, "two patches made number {number}");
                self.acknowledged = self.acknowledged.max(number.0);
            }
            Err(PatchRefusal::StaleBase { .. } | PatchRefusal::FutureBase { .. }) => (),
            Err(refusal) => panic!("{refusal}"),
        }
    }

    fn on_claim(&mut self, random: &mut Pcg64Mcg, claim: &KeyClaim, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Run { attempt } => self.on_run(random, claim, attempt),
            ClaimAnswer::Done { answer } => {
                let status = answer.expect("a small answer").status;
                let ran = self.runs.iter().find(|((key, _), run)| *key == claim.key && run.ran);
                let (_, run) = ran.expect("an answer of a key that never ran");
                assert_eq!(u64::from(status), run.claimant % 500, "another run's answer");
            }
            ClaimAnswer::OtherRequest => panic!("the same request was taken for another"),
            _ => (),
        }
    }

    fn on_run(&mut self, random: &mut Pcg64Mcg, claim: &KeyClaim, attempt: AttemptNumber) {
        let place = (claim.key, attempt);
        if let Some(run) = self.runs.get(&place) {
            assert_eq!(run.claimant, claim.claimant, "one attempt was given to two callers");
            return;
        }
        let earlier = self.runs.range((claim.key, AttemptNumber(0))..place);
        assert!(earlier.clone().all(|(_, run)| !run.ran), "a key that had run was given again");
        let ran = random.random_ratio(2, 3);
        let end = match ran {
            true => RunEnd::Done { answer: Some(answer_of(claim.claimant)) },
            false => RunEnd::NotRun,
        };
        let key = claim.key;
        let close = random.random_ratio(3, 4).then_some(KeyClose { key, attempt, end });
        self.runs.insert(place, KeyRun { claimant: claim.claimant, ran, close });
    }

    /// Checks what must hold in the end.
    pub fn check_whole(&self) {
        for (number, id) in &self.numbers {
            assert_eq!(self.results.get(id), Some(&Ok(*number)));
        }
    }
}

fn answer_of(claimant: u64) -> RecordedAnswer {
    let status = u16::try_from(claimant % 500).unwrap();
    RecordedAnswer { status, headers: Vec::new(), body: vec![1; 20] }
}

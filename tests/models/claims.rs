//! Models the claims of one request that its caller sends several times.
//!
//! Each attempt may run on another instance, which may crash. The request must
//! run once at most, in every order of events within small bounds.

use std::collections::BTreeSet;

use bulrushspan::core::claims::{
    AttemptResult, ClaimCommand, ClaimKey, ClaimLimits, ClaimOutcome, ClaimTable, RecordedResponse,
};

use super::explore::{SearchResult, explore};

/// The claim table, the attempts, the runs on upstreams and the responses to callers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    table: ClaimTable,
    attempts: Vec<AttemptState>,
    /// Pending commands. Each may be committed at any time, twice, or never.
    commands: BTreeSet<(usize, CommandKind)>,
    /// The attempts by which an upstream ran the request, in order.
    runs: Vec<usize>,
    /// The attempts reported to their caller as not run.
    reported_not_run: BTreeSet<usize>,
    /// The responses given to callers, named after the attempt that ran.
    responses: BTreeSet<String>,
    epochs_left: u32,
    duplicates_left: u32,
    fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum CommandKind {
    Begin,
    Withdraw,
    Finish,
}

/// The progress of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum AttemptState {
    NotStarted,
    Claiming,
    Granted,
    Sent,
    Ended,
    Crashed,
}

/// A fault planted to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    /// An instance treats a claim that another attempt holds as granted to it.
    HeldTreatedAsGranted,
    /// An attempt withdraws its claim after it sent the request.
    WithdrawAfterSending,
    /// A key of an expired epoch is treated as a new key.
    ExpiredTreatedAsNew,
}

const LIMITS: ClaimLimits = ClaimLimits { epochs_kept: 1, claims_max: 10 };

impl World {
    fn new(attempts: usize, fault: Option<Fault>) -> Self {
        let mut table = ClaimTable::default();
        table.apply(ClaimCommand::BeginEpoch { epoch: 1, at_unix_ms: 0 }, &LIMITS);
        Self {
            table,
            attempts: vec![AttemptState::NotStarted; attempts],
            commands: BTreeSet::new(),
            runs: Vec::new(),
            reported_not_run: BTreeSet::new(),
            responses: BTreeSet::new(),
            epochs_left: 1,
            duplicates_left: 1,
            fault,
        }
    }

    fn key(&self) -> ClaimKey {
        let epoch = match self.fault {
            Some(Fault::ExpiredTreatedAsNew) => self.table.epoch(),
            _ => 1,
        };
        ClaimKey { epoch, token: "booking".to_owned() }
    }

    fn command(&self, attempt: usize, kind: CommandKind) -> ClaimCommand {
        let (key, fingerprint) = (self.key(), "same".to_owned());
        let id = format!("attempt-{attempt}");
        match kind {
            CommandKind::Begin => ClaimCommand::Begin { key, fingerprint, attempt: id },
            CommandKind::Withdraw => ClaimCommand::Withdraw { key, fingerprint, attempt: id },
            CommandKind::Finish => {
                let body = id.clone().into_bytes();
                let response = RecordedResponse { status: 200, headers: Vec::new(), body };
                let result = AttemptResult::Answered(response);
                ClaimCommand::Finish { key, attempt: id, finished: result }
            }
        }
    }

    /// Returns the worlds that are reachable by one event.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (attempt, kind) in &self.commands {
            next.push(self.clone().commit(*attempt, *kind, true));
            if self.duplicates_left > 0 {
                let mut world = self.clone();
                world.duplicates_left -= 1;
                next.push(world.commit(*attempt, *kind, false));
            }
        }
        if self.epochs_left > 0 {
            let mut world = self.clone();
            world.epochs_left -= 1;
            let epoch = world.table.epoch() + 1;
            world.table.apply(ClaimCommand::BeginEpoch { epoch, at_unix_ms: 0 }, &LIMITS);
            next.push(world);
        }
        for attempt in 0..self.attempts.len() {
            next.extend(self.attempt_steps(attempt));
        }
        next
    }

    /// Commits a command, and keeps it pending unless `remove` is set.
    fn commit(mut self, attempt: usize, kind: CommandKind, remove: bool) -> Self {
        if remove {
            self.commands.remove(&(attempt, kind));
        }
        let outcome = self.table.apply(self.command(attempt, kind), &LIMITS);
        // The outcome of a claim matters only while the instance waits for it.
        if kind == CommandKind::Begin && self.attempts[attempt] == AttemptState::Claiming {
            self.receive(attempt, outcome);
        }
        self
    }

    fn receive(&mut self, attempt: usize, outcome: ClaimOutcome) {
        self.attempts[attempt] = match outcome {
            ClaimOutcome::Granted => AttemptState::Granted,
            ClaimOutcome::Held if self.fault == Some(Fault::HeldTreatedAsGranted) => {
                AttemptState::Granted
            }
            ClaimOutcome::Finished(AttemptResult::Answered(response)) => {
                self.responses.insert(String::from_utf8(response.body).unwrap());
                AttemptState::Ended
            }
            _ => AttemptState::Ended,
        };
    }

    /// Returns the worlds that are reachable by the next step of an attempt.
    fn attempt_steps(&self, attempt: usize) -> Vec<Self> {
        let mut next = Vec::new();
        let mut push_world = |state: AttemptState, change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            world.attempts[attempt] = state;
            change(&mut world);
            next.push(world);
        };
        match self.attempts[attempt] {
            AttemptState::NotStarted => {
                push_world(AttemptState::Claiming, &|world| {
                    world.commands.insert((attempt, CommandKind::Begin));
                });
            }
            AttemptState::Claiming => {
                // The outcome of the claim did not arrive in time.
                push_world(AttemptState::Ended, &|world| world.report_not_run(attempt));
                push_world(AttemptState::Crashed, &|_| {});
            }
            AttemptState::Granted => {
                push_world(AttemptState::Sent, &|world| world.runs.push(attempt));
                push_world(AttemptState::Ended, &|world| world.report_not_run(attempt));
                push_world(AttemptState::Crashed, &|_| {});
            }
            AttemptState::Sent => {
                push_world(AttemptState::Ended, &|world| world.report_answer(attempt));
                push_world(AttemptState::Crashed, &|_| {});
                if self.fault == Some(Fault::WithdrawAfterSending) {
                    push_world(AttemptState::Ended, &|world| world.report_not_run(attempt));
                }
            }
            AttemptState::Ended | AttemptState::Crashed => {}
        }
        next
    }

    fn report_not_run(&mut self, attempt: usize) {
        self.reported_not_run.insert(attempt);
        self.commands.insert((attempt, CommandKind::Withdraw));
    }

    fn report_answer(&mut self, attempt: usize) {
        self.responses.insert(format!("attempt-{attempt}"));
        self.commands.insert((attempt, CommandKind::Finish));
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs.len() > 1 {
            return Some("run twice");
        }
        if self.runs.iter().any(|attempt| self.reported_not_run.contains(attempt)) {
            return Some("a false \"not run\"");
        }
        if self.responses.len() > 1 {
            return Some("two responses to one request");
        }
        None
    }
}

fn check(world: World, depth: u32) -> SearchResult<World> {
    explore(world, depth, World::successors, |world| world.violation().is_some())
}

fn violation_with(fault: Fault) -> Option<&'static str> {
    let path = check(World::new(2, Some(fault)), 14).violation;
    path.as_ref().and_then(|path| path.last()).and_then(World::violation)
}

#[test]
fn a_request_runs_once_at_most() {
    let result = check(World::new(3, None), 20);
    assert!(result.violation.is_none(), "{:#?}", result.violation);
    insta::assert_snapshot!("claims", result.states);
}

#[test]
fn a_held_claim_treated_as_granted_is_found() {
    assert_eq!(violation_with(Fault::HeldTreatedAsGranted), Some("run twice"));
}

#[test]
fn a_withdrawal_after_sending_is_found() {
    assert_eq!(violation_with(Fault::WithdrawAfterSending), Some("a false \"not run\""));
}

#[test]
fn an_expired_key_treated_as_new_is_found() {
    assert_eq!(violation_with(Fault::ExpiredTreatedAsNew), Some("run twice"));
}

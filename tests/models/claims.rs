//! Claims under every order of events within small bounds: two instances run
//! attempts at one request whose caller sends it again.

use std::collections::BTreeSet;

use bulrushspan::core::claims::{
    Answer, AttemptResult, ClaimCommand, ClaimKey, ClaimLimits, ClaimOutcome, ClaimTable,
};

use super::explore::{Explored, explore};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    table: ClaimTable,
    attempts: Vec<Attempt>,
    /// Commands that may be committed at any time, once more, or never.
    commands: BTreeSet<(usize, Step)>,
    /// How often an upstream ran the request, and by which attempt.
    runs: Vec<usize>,
    /// The attempts whose caller was told that they were not run.
    told_not_run: BTreeSet<usize>,
    /// The answers that callers were given, by the attempt that ran.
    answers: BTreeSet<String>,
    epochs_left: u32,
    duplicates_left: u32,
    fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Step {
    Begin,
    Withdraw,
    Finish,
}

/// Says how far an instance is with its attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Attempt {
    NotBegun,
    Asked,
    Granted,
    Sent,
    Ended,
    Crashed,
}

/// A fault that is planted to show that the model finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    /// A claim that another attempt holds is taken for a grant.
    HeldIsGranted,
    /// An attempt gives its key up after it sent the request.
    WithdrawAfterSending,
    /// A key of an epoch that was dropped counts as new.
    ExpiredIsNew,
}

const LIMITS: ClaimLimits = ClaimLimits { epochs_kept: 1, claims_max: 10 };

impl World {
    fn new(attempts: usize, fault: Option<Fault>) -> Self {
        let mut table = ClaimTable::default();
        table.apply(ClaimCommand::BeginEpoch { epoch: 1, at_unix_ms: 0 }, &LIMITS);
        Self {
            table,
            attempts: vec![Attempt::NotBegun; attempts],
            commands: BTreeSet::new(),
            runs: Vec::new(),
            told_not_run: BTreeSet::new(),
            answers: BTreeSet::new(),
            epochs_left: 1,
            duplicates_left: 1,
            fault,
        }
    }

    fn key(&self) -> ClaimKey {
        let epoch = match self.fault {
            Some(Fault::ExpiredIsNew) => self.table.epoch(),
            _ => 1,
        };
        ClaimKey { epoch, token: "booking".to_owned() }
    }

    fn command(&self, attempt: usize, step: Step) -> ClaimCommand {
        let (key, fingerprint) = (self.key(), "same".to_owned());
        let id = format!("attempt-{attempt}");
        match step {
            Step::Begin => ClaimCommand::Begin { key, fingerprint, attempt: id },
            Step::Withdraw => ClaimCommand::Withdraw { key, fingerprint, attempt: id },
            Step::Finish => {
                let body = id.clone().into_bytes();
                let answer = Answer { status: 200, headers: Vec::new(), body };
                let finished = AttemptResult::Answered(answer);
                ClaimCommand::Finish { key, attempt: id, finished }
            }
        }
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for (attempt, step) in &self.commands {
            next.push(self.clone().commit(*attempt, *step, true));
            if self.duplicates_left > 0 {
                let mut world = self.clone();
                world.duplicates_left -= 1;
                next.push(world.commit(*attempt, *step, false));
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
            next.extend(self.act(attempt));
        }
        next
    }

    fn commit(mut self, attempt: usize, step: Step, take: bool) -> Self {
        if take {
            self.commands.remove(&(attempt, step));
        }
        let outcome = self.table.apply(self.command(attempt, step), &LIMITS);
        // The answer to a claim counts only while the instance waits for it.
        if step == Step::Begin && self.attempts[attempt] == Attempt::Asked {
            self.hear(attempt, outcome);
        }
        self
    }

    fn hear(&mut self, attempt: usize, outcome: ClaimOutcome) {
        self.attempts[attempt] = match outcome {
            ClaimOutcome::Granted => Attempt::Granted,
            ClaimOutcome::Held if self.fault == Some(Fault::HeldIsGranted) => Attempt::Granted,
            ClaimOutcome::Finished(AttemptResult::Answered(answer)) => {
                self.answers.insert(String::from_utf8(answer.body).unwrap());
                Attempt::Ended
            }
            _ => Attempt::Ended,
        };
    }

    /// Lists what an instance may do next.
    fn act(&self, attempt: usize) -> Vec<Self> {
        let mut next = Vec::new();
        let mut go = |state: Attempt, change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            world.attempts[attempt] = state;
            change(&mut world);
            next.push(world);
        };
        match self.attempts[attempt] {
            Attempt::NotBegun => {
                go(Attempt::Asked, &|world| {
                    world.commands.insert((attempt, Step::Begin));
                });
            }
            Attempt::Asked => {
                // No answer came in time.
                go(Attempt::Ended, &|world| world.refuse(attempt));
                go(Attempt::Crashed, &|_| {});
            }
            Attempt::Granted => {
                go(Attempt::Sent, &|world| world.runs.push(attempt));
                go(Attempt::Ended, &|world| world.refuse(attempt));
                go(Attempt::Crashed, &|_| {});
            }
            Attempt::Sent => {
                go(Attempt::Ended, &|world| world.answer(attempt));
                go(Attempt::Crashed, &|_| {});
                if self.fault == Some(Fault::WithdrawAfterSending) {
                    go(Attempt::Ended, &|world| world.refuse(attempt));
                }
            }
            Attempt::Ended | Attempt::Crashed => {}
        }
        next
    }

    fn refuse(&mut self, attempt: usize) {
        self.told_not_run.insert(attempt);
        self.commands.insert((attempt, Step::Withdraw));
    }

    fn answer(&mut self, attempt: usize) {
        self.answers.insert(format!("attempt-{attempt}"));
        self.commands.insert((attempt, Step::Finish));
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs.len() > 1 {
            return Some("run twice");
        }
        if self.runs.iter().any(|attempt| self.told_not_run.contains(attempt)) {
            return Some("a false \"not run\"");
        }
        if self.answers.len() > 1 {
            return Some("two answers to one request");
        }
        None
    }
}

fn check(world: World, depth: u32) -> Explored<World> {
    explore(world, depth, World::successors, |world| world.violation().is_some())
}

fn found(fault: Fault) -> Option<&'static str> {
    let path = check(World::new(2, Some(fault)), 14).violation;
    path.as_ref().and_then(|path| path.last()).and_then(World::violation)
}

#[test]
fn a_request_runs_once_at_most() {
    let explored = check(World::new(3, None), 20);
    assert!(explored.violation.is_none(), "{:#?}", explored.violation);
    insta::assert_snapshot!("claims", explored.states);
}

#[test]
fn a_held_claim_taken_for_a_grant_is_found() {
    assert_eq!(found(Fault::HeldIsGranted), Some("run twice"));
}

#[test]
fn a_withdrawal_after_sending_is_found() {
    assert_eq!(found(Fault::WithdrawAfterSending), Some("a false \"not run\""));
}

#[test]
fn an_expired_key_taken_for_a_new_one_is_found() {
    assert_eq!(found(Fault::ExpiredIsNew), Some("run twice"));
}

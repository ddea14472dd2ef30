//! The cases.

mod killed_relay;
mod leaving_runner;
mod restarted_version;
mod restored_store;
mod spoiled_prefill;

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;

use self::restored_store::Trouble;
use crate::client::Answer;
use crate::client::Call;
use crate::record::Record;

/// Plays a case. Returns whether the rule was broken.
pub fn play(name: &str, has_trouble: bool, record: &mut Record) -> bool {
    match name {
        "killed-relay" => killed_relay::play(has_trouble, record),
        "leaving-runner" => leaving_runner::play(has_trouble, record),
        "restarted-version" => restarted_version::play(has_trouble, record),
        "restored-store" if has_trouble => restored_store::play(Trouble::Drill, record),
        "two-versions" if has_trouble => restored_store::play(Trouble::Versions, record),
        "restored-store" | "two-versions" => restored_store::play(Trouble::None, record),
        "spoiled-prefill" => spoiled_prefill::play(has_trouble, record),
        _ => crate::cannot_run("no such case"),
    }
}

/// Requests under way.
#[derive(Default)]
struct Requests {
    threads: Vec<JoinHandle<(Call, Answer)>>,
}

impl Requests {
    fn send(&mut self, to: SocketAddr, call: Call) {
        self.threads.push(thread::spawn(move || {
            let answer = call.send(to);
            (call, answer)
        }));
    }

    // Waits for all answers and records them.
    fn finish(self, record: &mut Record) -> Vec<(Call, Answer)> {
        let threads = self.threads.into_iter();
        let answers: Vec<_> = threads
            .map(|thread| thread.join().expect("a client doesn't panic"))
            .collect();
        for (call, answer) in &answers {
            record.answer(&call.id, answer);
        }
        answers
    }
}

fn events(answer: &Answer) -> u64 {
    answer.body.matches("\n\n").count() as u64
}

// Returns how many answers are successes that look complete and lack events at their end, which rules
// MIXED and ORDER forbid.
fn count_truncated(answers: &[(Call, Answer)], whole: u64, record: &mut Record) -> usize {
    let mut truncated = 0;
    for (call, answer) in answers {
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.complete && events(answer) < whole {
            truncated += 1;
            let events = events(answer);
            record.note(&format!(
                "{} looks complete with {events} of {whole} events",
                call.id
            ));
        }
    }
    let successes = answers.iter().filter(|(_, answer)| answer.complete).count();
    record.note(&format!(
        "{} streams, {successes} end as complete, {truncated} of them too early",
        answers.len()
    ));
    truncated
}

//! Counts the outcomes of the demo's requests.

use std::fmt;

use dogwoodpier_fakes::service::ServiceStats;

use crate::work::Job;
use crate::work::Outcome;

/// Outcomes of the requests and their counts.
#[derive(Debug, Default)]
pub struct Report {
    results: Vec<(Job, Outcome)>,
    doubled: usize,
    lost: usize,
}

impl Report {
    /// Adds the outcome of a request.
    pub fn add(&mut self, job: Job, outcome: Outcome) {
        self.results.push((job, outcome));
    }

    /// Counts lost and doubled requests. A request is lost if it got no or a wrong answer, or if it
    /// is an order that was answered but that the service never ran. An order is doubled if it ran
    /// more than once, or although it was refused as not run.
    pub fn compare_with_service(&mut self, service: &ServiceStats) {
        for (job, outcome) in &self.results {
            if *outcome == Outcome::Lost || *outcome == Outcome::Wrong {
                self.lost += 1;
            }
            let Job::Order(number) = job else {
                continue;
            };
            let call = format!("POST /orders {}", Job::order_body(*number));
            let runs = service.runs_by_body.get(&call).copied().unwrap_or_default();
            if runs > 1 || (runs > 0 && *outcome == Outcome::Refused) {
                self.doubled += 1;
            }
            if runs == 0 && *outcome == Outcome::Answered {
                self.lost += 1;
            }
        }
    }

    /// Returns true if no request was lost or doubled.
    pub fn is_successful(&self) -> bool {
        self.lost == 0 && self.doubled == 0
    }

    fn count(&self, wanted: Outcome) -> usize {
        self.results
            .iter()
            .filter(|(_, outcome)| *outcome == wanted)
            .count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sent {}, answered once {}, refused as not run {}, refused as unknown {}, lost {}, doubled {}",
            self.results.len(),
            self.count(Outcome::Answered),
            self.count(Outcome::Refused),
            self.count(Outcome::Unknown),
            self.lost,
            self.doubled,
        )
    }
}

//! The roll at the size of a large fleet: what a snapshot takes, at 5,600 routers and at the bound, and whose reports
//! reach the leader.

use silverspindle_agreement::{Change, Fleet, MOST_FRAME, Proposal, ProposalId, Refusal, Verdict, bounds};

/// Routers of the fleet that the bounds are worked out for.
const ROUTERS: usize = 5_600;
/// Lives are Unix microseconds.
const LIFE: u64 = 1_764_576_000_000_000;

/// A fleet to which changes are applied one by one, each built on the number before.
struct Applied {
    fleet: Fleet,
    proposals: u64,
}

impl Applied {
    fn new() -> Self {
        Self { fleet: Fleet::formed(&[("n1".to_owned(), 1)]), proposals: 0 }
    }

    fn apply(&mut self, change: Change) -> Verdict {
        self.proposals += 1;
        let builds_on = self.fleet.number;
        let id = ProposalId(u64::MAX, self.proposals);
        let proposal = Proposal { id, builds_on, by: "staff".to_owned(), change };
        let bytes = postcard::to_stdvec(&proposal).unwrap();
        self.fleet.apply(builds_on + 1, &bytes, true).expect("applied once").1
    }

    fn join(&mut self, name: String, life: u64) -> Verdict {
        self.apply(Change::Join { name, life })
    }
}

/// 5,600 routers with names as a site gives them, each in its second life, the first one killed.
#[test]
fn a_snapshot_of_5600_routers_is_a_twelfth_of_the_longest_frame() {
    let mut applied = Applied::new();
    for life in [LIFE, LIFE + 1] {
        for n in 0..ROUTERS {
            let name = format!("edge-{:03}-router-{:02}", n / 20, n % 20);
            assert!(matches!(applied.join(name, life), Verdict::Made(_)));
        }
    }
    let bytes = applied.fleet.spell().len();
    println!("{ROUTERS} routers: a snapshot of {bytes} bytes, {} each", bytes / ROUTERS);
    assert!(bytes <= MOST_FRAME / 12, "{bytes}");
    assert_eq!(Fleet::read(&applied.fleet.spell()), Some(applied.fleet));
}

/// Guards against a fleet whose snapshot no frame can carry, so that who is far behind would never catch up.
#[test]
fn the_largest_snapshot_that_can_be_agreed_fits_a_frame() {
    let mut applied = Applied::new();
    let longest = |n: usize| format!("{n:x>width$}", width = bounds::NAME);
    for life in 0..=bounds::EARLIER as u64 {
        for n in 0..bounds::ROLL {
            let made = applied.join(longest(n), u64::MAX - 1_000 + life);
            assert!(matches!(made, Verdict::Made(_)), "{made:?}");
        }
    }
    let over = applied.join(longest(bounds::ROLL), LIFE);
    assert!(matches!(over, Verdict::Refused(_, Refusal::Bound)), "{over:?}");
    let body = bounds::NOTES / bounds::TOPICS;
    for topic in 0..bounds::TOPICS {
        let made = applied.apply(Change::Note { topic: longest(topic), body: vec![7; body] });
        assert!(matches!(made, Verdict::Made(_)), "{made:?}");
    }
    let bytes = applied.fleet.spell().len();
    println!("{} routers, the longest names and all lives: a snapshot of {bytes} bytes", bounds::ROLL);
    // The rest of the frame: what stands beside the snapshot in an answer.
    assert!(bytes + 1024 <= MOST_FRAME, "{bytes}");
}

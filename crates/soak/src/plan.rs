//! Plans: one seed gives one.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One round: a VM is cut off with its bytes held, killed and started again, and the bytes come late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateRound {
    /// Which VM. Never the first, which holds the configuration.
    pub vm: usize,
    /// The services of the calls that it takes before the cut.
    pub before: Vec<usize>,
    /// The services of those that it takes together while its bytes are held.
    pub held: Vec<usize>,
    /// How long after these it is killed.
    pub killed_after: Duration,
    /// The services of those that its next process takes.
    pub after: Vec<usize>,
    /// After how many of these the held bytes are delivered.
    pub delivered_after: usize,
    /// The pause between two calls.
    pub pause: Duration,
}

/// The rounds of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Its seed.
    pub seed: u64,
    /// The share of calls that upstreams refuse, with each refusal handed out once more.
    pub copied_refusals: f64,
    /// The share of answers whose head upstreams break.
    pub broken_heads: f64,
    /// Its rounds.
    pub rounds: Vec<LateRound>,
}

/// The least and the greatest share of calls that upstreams refuse where they hand out copies.
const COPIED_REFUSALS: (f64, f64) = (0.1, 0.5);

/// The least and the greatest share of answers whose heads upstreams break.
const BROKEN_HEADS: (f64, f64) = (0.1, 0.5);

impl SoakPlan {
    /// Draws a plan for so many VMs and services.
    pub fn draw(seed: u64, rounds: u32, vms: usize, services: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let rounds = (0..rounds).map(|_| LateRound::draw(&mut random, vms, services)).collect();
        Self { seed, copied_refusals: 0.0, broken_heads: 0.0, rounds }
    }

    /// Has upstreams refuse a share of their calls as well, and hand out copies of their refusals.
    #[must_use]
    pub fn with_copies(self) -> Self {
        let (least, greatest) = COPIED_REFUSALS;
        let copied_refusals = Pcg64Mcg::seed_from_u64(self.seed).random_range(least..greatest);
        Self { copied_refusals, ..self }
    }

    /// Has upstreams break the heads of a share of their answers as well.
    #[must_use]
    pub fn with_broken_heads(self) -> Self {
        let (least, greatest) = BROKEN_HEADS;
        let broken_heads = Pcg64Mcg::seed_from_u64(self.seed).random_range(least..greatest);
        Self { broken_heads, ..self }
    }
}

impl LateRound {
    fn draw(random: &mut Pcg64Mcg, vms: usize, services: usize) -> Self {
        // Each service once, so that the connections to all placers are open when the cut begins.
        let before: Vec<_> = (0..services).collect();
        let count = random.random_range(12..24);
        let held: Vec<_> = (0..count).map(|_| random.random_range(0..services)).collect();
        let count = before.len() + 2 * held.len();
        let after = (0..count).map(|_| random.random_range(0..services)).collect();
        Self {
            vm: random.random_range(1..vms),
            delivered_after: random.random_range(2..before.len()),
            killed_after: Duration::from_millis(random.random_range(50..400)),
            pause: Duration::from_millis(random.random_range(20..60)),
            before,
            held,
            after,
        }
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        if self.copied_refusals > 0.0 {
            let percent = self.copied_refusals * 100.0;
            writeln!(f, "{percent:.0} in 100 calls are refused, each refusal comes twice")?;
        }
        if self.broken_heads > 0.0 {
            writeln!(f, "{:.0} in 100 answers have a broken head", self.broken_heads * 100.0)?;
        }
        for (number, round) in self.rounds.iter().enumerate() {
            writeln!(
                f,
                "round {number}: vm-{} takes {} calls, {} with its bytes held, is killed after \
                 {} ms and started, takes {} more; the bytes come after {} of them; a call each {} ms",
                round.vm,
                round.before.len(),
                round.held.len(),
                round.killed_after.as_millis(),
                round.after.len(),
                round.delivered_after,
                round.pause.as_millis(),
            )?;
        }
        Ok(())
    }
}

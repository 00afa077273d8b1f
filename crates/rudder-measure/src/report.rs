//! Tables of several variants of one scenario.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use serde::Serialize;

use crate::{
    Scenario, Variant,
    run::{self, Outcome, Sum},
};

/// Figures of one class in one variant, as means over the seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Variant.
    pub variant: &'static str,
    /// Class.
    pub class: String,
    /// Calls.
    pub calls: f64,
    /// Share attained, in percent.
    pub attained: f64,
    /// Share refused, in percent.
    pub refused: f64,
    /// Longest wait for a first token, in seconds.
    pub longest: f64,
    /// Share attained by the smallest half of organisations, in percent; the large one is left out.
    pub others: f64,
}

/// Figures of one variant over all classes.
#[derive(Clone, Debug, Serialize)]
pub struct Total {
    /// Variant.
    pub variant: &'static str,
    /// Tokens a second of attained calls.
    pub goodput: f64,
    /// Share of slot time used for calls that did not end whole, in percent.
    pub wasted: f64,
    /// Preemptions a run.
    pub recalls: f64,
    /// Share of the missed calls of well engines' classes that ran at a faulty engine from 5 s after
    /// its fault on, in percent of all calls then.
    pub faulty: f64,
}

/// What a scenario came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// By variant and class.
    pub rows: Vec<Row>,
    /// By variant.
    pub totals: Vec<Total>,
    /// Tokens a second that the engines can generate with all slots taken.
    pub capacity: f64,
    /// Tokens a second asked for.
    pub demand: f64,
    /// Attainment of the highest tier where lower tiers do not exist, in percent by class.
    pub alone: BTreeMap<String, f64>,
}

/// Runs `variants` of a scenario with all its seeds.
pub fn report(scenario: &Scenario, variants: &[Variant]) -> Report {
    let mut report = Report {
        rows: Vec::new(),
        totals: Vec::new(),
        capacity: capacity(scenario),
        demand: 0.0,
        alone: alone(scenario),
    };
    for variant in variants {
        let outcomes: Vec<Outcome> = scenario.seeds.iter().map(|seed| run::run(scenario, variant, *seed)).collect();
        add(&mut report, scenario, variant, &outcomes);
    }
    report
}

fn add(report: &mut Report, scenario: &Scenario, variant: &Variant, outcomes: &[Outcome]) {
    let calls: Vec<run::Call> = outcomes.iter().flat_map(|outcome| outcome.calls.iter().cloned()).collect();
    let seeds = outcomes.len().max(1) as f64;
    let seconds = scenario.length.as_secs_f64() * seeds;
    let all = run::sum(scenario, &calls, |_| true);
    let others = run::sum(scenario, &calls, |call| call.org > 0);
    let percent = |sum: &Sum, part: f64| part * 100.0 / sum.calls.max(1.0);
    for (class, sum) in &all {
        report.rows.push(Row {
            variant: variant.name,
            class: class.clone(),
            calls: sum.calls / seeds,
            attained: percent(sum, sum.attained),
            refused: percent(sum, sum.refused),
            longest: sum.longest.as_secs_f64(),
            others: others.get(class).map_or(0.0, |sum| percent(sum, sum.attained)),
        });
    }
    let used: f64 = outcomes.iter().map(|outcome| outcome.used).sum();
    let wasted: f64 = all.values().map(|sum| sum.wasted).sum();
    report.demand = all.values().map(|sum| sum.wanted).sum::<f64>() / seconds;
    report.totals.push(Total {
        variant: variant.name,
        goodput: all.values().map(|sum| sum.useful).sum::<f64>() / seconds,
        wasted: wasted * 100.0 / used.max(0.001),
        recalls: outcomes.iter().map(|outcome| f64::from(outcome.recalls)).sum::<f64>() / seeds,
        faulty: faulty(scenario, &calls),
    });
}

/// Calls that came at least 5 s into a fault, ran at its engine and missed, in percent of all such calls.
fn faulty(scenario: &Scenario, calls: &[run::Call]) -> f64 {
    let after = Duration::from_secs(5);
    let (mut missed, mut all) = (0.0, 0.0);
    for fault in &scenario.fault {
        let first = fault.hall * scenario.engine.count;
        for call in
            calls.iter().filter(|call| call.arrived >= fault.at + after && call.arrived < fault.at + fault.length)
        {
            all += 1.0;
            let there = call.engine.is_some_and(|engine| {
                fault.engine.map_or(engine / scenario.engine.count == fault.hall, |own| engine == first + own)
            });
            if there && !run::attains(call, &scenario.stream[call.stream]) {
                missed += 1.0;
            }
        }
    }
    if all == 0.0 { 0.0 } else { missed * 100.0 / all }
}

fn capacity(scenario: &Scenario) -> f64 {
    let engine = &scenario.engine;
    let slots = scenario.halls as f64 * engine.count as f64 * f64::from(engine.slots);
    slots / (engine.pace.as_secs_f64() * (1.0 + engine.drag))
}

fn alone(scenario: &Scenario) -> BTreeMap<String, f64> {
    let top = scenario.top_alone();
    let calls: Vec<run::Call> =
        scenario.seeds.iter().flat_map(|seed| run::run(&top, &Variant::present(), *seed).calls).collect();
    let sums = run::sum(&top, &calls, |_| true);
    sums.into_iter().map(|(class, sum)| (class, sum.attained * 100.0 / sum.calls.max(1.0))).collect()
}

impl Report {
    /// The report as a table in text.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "capacity {:.0} tokens/s, demand {:.0} tokens/s (mean over the whole length)\n\n",
            self.capacity, self.demand
        );
        text.push_str(
            "variant      class            calls  attained  refused  longest wait  small orgs  top tier alone\n",
        );
        for row in &self.rows {
            let alone = self.alone.get(&row.class).map_or_else(|| "-".to_owned(), |share| format!("{share:.1}%"));
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<12} {:<14} {:>7.0}  {:>7.1}%  {:>6.1}%  {:>10.2} s  {:>9.1}%  {alone:>14}",
                row.variant, row.class, row.calls, row.attained, row.refused, row.longest, row.others
            );
        }
        text.push_str("\nvariant      goodput tokens/s  wasted slot time  preemptions  misses at faulty engine\n");
        for total in &self.totals {
            let _ = writeln!(
                text,
                "{:<12} {:>16.0}  {:>15.2}%  {:>11.0}  {:>22.2}%",
                total.variant, total.goodput, total.wasted, total.recalls, total.faulty
            );
        }
        text
    }
}

//! `measure`.

use pico_args::Arguments;
use rudder_measure::{Variant, cost, report, scenario};

use super::{Error, option_or, to_words};

/// Numbers of endpoints at which a decision's cost is measured.
const SIZES: [usize; 3] = [20, 200, 1000];

/// Runs a scenario, or times decisions.
pub(super) fn measure(mut arguments: Arguments) -> Result<bool, Error> {
    let json = arguments.contains("--json");
    let steps = arguments.contains("--steps");
    let load = option_or(&mut arguments, "--load", 1.0)?;
    let words = to_words(arguments)?;
    let [name] = words.as_slice() else { return Err(Error::Usage("measure needs one SCENARIO".to_owned())) };
    if name == "decision-cost" {
        for endpoints in SIZES {
            println!("{endpoints} endpoints: {:?} a request", cost::decision(endpoints));
        }
        return Ok(true);
    }
    let scenario = scenario(name).map_err(|error| Error::Usage(format!("{error:#}")))?.at_load(load);
    let variants = if steps { Variant::steps() } else { vec![Variant::baseline(), Variant::present()] };
    let report = report(&scenario, &variants);
    if json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|error| Error::Failed(error.into()))?);
    } else {
        println!("{}", report.to_text());
    }
    Ok(true)
}

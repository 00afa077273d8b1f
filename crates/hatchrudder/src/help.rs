//! Help texts.

const ALL: &str = "hatchrudder: a router for language-model traffic with service levels and priorities

usage: hatchrudder COMMAND [OPTIONS]

  demo       a whole deployment in one process, with promises checked
  check      validates settings
  run        runs one instance
  platform   runs one instance on the users' platform
  stand-in   a small stand-in engine or plain service
  get        shows configuration objects or an instance's status
  apply      puts the objects of a file in force
  label      sets labels of an object
  mark       marks an endpoint or instance leaving or stopping
  evacuate   gives the endpoints of a hall no new work, or takes that back
  measure    the policy on fakes in virtual time, baseline beside present
  load       latency, throughput, streams, changes against running processes
  soak       real processes under faults drawn from a seed, promises checked
  timeline   merges event logs into one time line
  explain    tells what happened to one request
  duty       tells why engines were ordered in a hall, or what became of a window's report

hatchrudder COMMAND --help tells more. --version shows the version.
Exit codes: 0 done, 1 failed or a promise broke, 2 wrong use or refused settings.";

const DEMO: &str = "usage: hatchrudder demo [--seconds N] [--seed N] [--folder DIR]

Runs nine instances in three halls, nine stand-in engines and three replicas of a plain service in
this process, on loopback only: a burst past capacity, a slow engine, an endpoint marked leaving and
an instance stopped. Ends by itself and prints attainment by class, goodput, wasted work and each
promise with the times it was tested. Exit code 1 if one broke.

  --seconds N   seconds of arrivals (14)
  --seed N      seed of the arrivals (1)
  --folder DIR  keeps settings, data folders and event logs there";

const CHECK: &str = "usage: hatchrudder check --settings FILE

Reads settings and says what is wrong with them, by file, line and key. Exit code 2 if refused.";

const RUN: &str = "usage: hatchrudder run --settings FILE

Runs one instance until SIGTERM or SIGINT begins a planned stop: it goes off the lists at once,
serves callers that hold an old list, finishes what is in flight, then ends with exit code 0.";

const PLATFORM: &str = "usage: hatchrudder platform [--settings FILE] [--policy FILE]

Runs one instance on the users' platform, from the settings file that the platform places (its path
stands in HATCHRUDDER_NODE_FILE). The policy file sets weights of the decisions and switches mechanisms
off; what it does not name has its default (deploy/policy.toml). SIGTERM begins a planned stop, SIGHUP reads the settings anew.
Logs are JSON lines on standard output.";

const STAND_IN: &str = "usage: hatchrudder stand-in --listen ADDR [--service] [--slots N] [--pace TIME]
                            [--prefill TIME] [--tokens N] [--time TIME] [--unchecked]

Serves a stand-in engine, or with --service a plain service, until ended. Faults are set with
POST /standin/faults, for instance {\"slow\": 5.0} or {\"hang\": true}; counts are at
/standin/counts (engine) and /standin/runs (service).

  --slots N        requests worked on at the same time (8)
  --pace TIME      time between tokens (20ms)
  --prefill TIME   time before the first token (80ms)
  --tokens N       mean output length (40)
  --time TIME      time of a service call (20ms)
  --unchecked      takes orders without checking their fence";

const GET: &str = "usage: hatchrudder get KIND [NAME] --entry URL [--key KEY]
       hatchrudder get status --entry URL [--key KEY]

Shows objects of a kind (class, endpoint, organisation, selector, instance) with their numbers, or how
the instance is, as JSON. The operators' key may also stand in HATCHRUDDER_KEY.";

const APPLY: &str = "usage: hatchrudder apply FILE --entry URL [--key KEY]

Puts the objects of a TOML file in force, each in place of what stands, and prints each number.
Tables are [class.NAME], [endpoint.NAME], [organisation.NAME], [selector.NAME]. An organisation's
keys are SHA-256 digests in hexadecimal. Stops at the first change that is refused, exit code 1.";

const LABEL: &str = "usage: hatchrudder label KIND NAME LABEL=VALUE... --entry URL [--key KEY]

Sets labels of an object and prints its new number; an empty VALUE takes the label off.";

const MARK: &str = "usage: hatchrudder mark KIND NAME leaving|stopping|none --entry URL [--key KEY]

Marks an endpoint or instance and prints its new number. A leaving endpoint gets no new work within
three seconds. A stopping instance ends once nothing is in flight.";

const EVACUATE: &str = "usage: hatchrudder evacuate HALL begin|end --entry URL [--key KEY]

Gives the endpoints of a hall no new work, at any instance, or takes that back. What runs there is
finished. Answered once the order is durable; the same order may be sent again.";

const MEASURE: &str = "usage: hatchrudder measure SCENARIO [--steps] [--load FACTOR] [--json]
       hatchrudder measure decision-cost

Runs the policy's own code on small fakes in virtual time: baseline and present in one run with the
same seeds. SCENARIO is a TOML file or one of kickoff, month-end, slow-engine, crash, report-lag,
large-org, cache-gaps, hall-cut. The same scenario gives the same table. decision-cost times one
request's decisions at 20, 200 and 1,000 endpoints.

  --steps         the baseline with one step of the policy after the other
  --load FACTOR   multiplies all demand
  --json          prints the figures as JSON";

const LOAD: &str = "usage: hatchrudder load EXPERIMENT --entry ADDR... --key KEY [OPTIONS]

  added      pairs of short calls: directly to the endpoint at --direct, and through the entry
  calls      short calls by --threads callers for --seconds; --keyed gives each its own key
  streams    --count streams open at the same time
  in-force   --count changes: time until every --entry holds each (KEY is the operators')
  changes    changes by --threads operators for --seconds (KEY is the operators')

  --class C (read)  --service S (lasku)  --model M (model)  --threads N (32)  --count N (1000)
  --seconds N (5)";

const TIMELINE: &str = "usage: hatchrudder timeline FILE...

Merges the event logs of all processes by time, one JSON object a line.";

const EXPLAIN: &str = "usage: hatchrudder explain REQUEST FILE...

Tells from the event logs of all processes why a request went where it went, waited or was refused.
REQUEST is the id in the answer's header x-request-id.";

const DUTY: &str = "usage: hatchrudder duty HALL|WINDOW FILE...

Tells from the event logs of all processes what the holder of duties did about the engines of a hall, or about the
report of a window: what it wanted and why, each call and its outcome, and who held the duties when.";

const SOAK: &str = "usage: hatchrudder soak [--seed N] [--seeds N] [--seconds N] [--instances N] [--endpoints N]
                       [--faults LIST] [--schedule FILE] [--write FILE] [--shrink] [--folder DIR]

Starts instances as processes of their own on loopback, endpoints and callers beside them, and breaks them by a schedule drawn
from a seed. What callers, endpoints and operators saw is judged at the end; exit code 1 if a promise broke. Of a soak that broke
one the logs and the schedule are kept. docs/SOAK.md tells more.

  --seed N         seed of the first soak (1)
  --seeds N        soaks, with seeds that follow each other (1)
  --seconds N      length of one, 14 to 3600 (30)
  --instances N    processes, 3 to 60, three of them with disks (5)
  --endpoints N    endpoints, 4 to 60 (6)
  --faults LIST    only these faults, by name, separated by commas
  --schedule FILE  plays this schedule instead of one drawn from the seed
  --write FILE     writes the schedule before it is played
  --shrink         leaves out faults while a schedule that broke a promise still does
  --folder DIR     keeps data, logs and schedules there";

/// The help of a command; that of all commands for an unknown one.
pub(crate) fn of(name: &str) -> &'static str {
    match name {
        "demo" => DEMO,
        "check" => CHECK,
        "run" => RUN,
        "platform" => PLATFORM,
        "stand-in" => STAND_IN,
        "get" => GET,
        "apply" => APPLY,
        "label" => LABEL,
        "mark" => MARK,
        "evacuate" => EVACUATE,
        "measure" => MEASURE,
        "load" => LOAD,
        "soak" => SOAK,
        "timeline" => TIMELINE,
        "explain" => EXPLAIN,
        "duty" => DUTY,
        _ => ALL,
    }
}

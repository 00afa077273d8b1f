# Everyday tasks; each line is a plain command that works without just.

# All checks of CI.
check:
    bash .ci/run

# The main job.
demo:
    cargo run --release -- demo

# Tests only.
test:
    cargo test --workspace

# Format in place.
fmt:
    cargo fmt --all

"""The counters and histograms of an instance.

Names and units follow the conventions of OpenTelemetry; durations are in seconds.
``almondspread.table.rows`` counts rows read and written.
"""

from attrs import define
from opentelemetry.metrics import Counter, Histogram, Meter

REQUEST_BUCKET_SECONDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    5,
    15,
    60,
)
COMMIT_BUCKET_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 5, 30)


@define(frozen=True)
class Instruments:
    """The counters and histograms of one instance."""

    requests: Counter
    request_duration: Histogram
    refused_clients: Counter
    table_rows: Counter
    table_calls: Counter
    commits: Counter
    commit_duration: Histogram

    @classmethod
    def create(cls, meter: Meter) -> "Instruments":
        """Create the instruments with a meter."""
        return cls(
            requests=meter.create_counter(
                "almondspread.requests",
                unit="{request}",
                description="Requests of callers by kind and outcome",
            ),
            request_duration=meter.create_histogram(
                "almondspread.request.duration",
                unit="s",
                description="From a request's arrival to its answer",
                explicit_bucket_boundaries_advisory=REQUEST_BUCKET_SECONDS,
            ),
            refused_clients=meter.create_counter(
                "almondspread.refused.clients",
                unit="{client}",
                description="Clients refused or closed by the listener, by reason",
            ),
            table_rows=meter.create_counter(
                "almondspread.table.rows",
                unit="{row}",
                description="Rows read from and written to the table service",
            ),
            table_calls=meter.create_counter(
                "almondspread.table.calls",
                unit="{call}",
                description="Calls to the table service by operation and outcome",
            ),
            commits=meter.create_counter(
                "almondspread.journal.commits",
                unit="{commit}",
                description="Batches committed to journals",
            ),
            commit_duration=meter.create_histogram(
                "almondspread.journal.commit.duration",
                unit="s",
                description="From a batch's decision to its commit",
                explicit_bucket_boundaries_advisory=COMMIT_BUCKET_SECONDS,
            ),
        )

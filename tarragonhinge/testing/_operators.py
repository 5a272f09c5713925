"""Operators' HTTP application of an instance, without the instance."""

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import operators
from tarragonhinge import propagation
from tarragonhinge import stores
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _stores


#: Registered names that tables in tests may refer to.
KNOWN_NAMES = configuration.KnownNames(
    planners=frozenset({"balanced", "weighed"}),
    dialects=frozenset({"lapsing"}),
    histories=frozenset({"standby"}),
    pickers=frozenset({"least_loaded"}),
    disciplines=frozenset({"priority"}),
)


class OperatorsTestbed:
    """Production application of the operators on in-memory stores.

    Parameters
    ----------
    token_file : str
        File of accepted tokens; empty to accept requests without one.

    Attributes
    ----------
    table : FaultyTable
        Connection to the table service, which can be interrupted.
    store : ConfigurationStore
        Store of the operators' table.
    view : TableView
        Operators' table in force.
    tokens : TokenCheck
        Authorization of reads and edits.
    fleet : FleetVersion or None
        Table versions of the fleet as a poller reports them; None if no
        poller answers.
    application : Application
        Application that serves the operators' address.
    """

    def __init__(self, *, token_file: str = "") -> None:
        clock = _clock.ManualClock()
        self.table = _stores.FaultyTable(
            table=stores.MemoryTable(), clock=clock, delay_ms=0
        )
        self.store = configuration.ConfigurationStore(
            table=self.table,
            objects=stores.MemoryObjects(),
            committer=stores.Committer(table=self.table, clock=clock),
        )
        self.view = configuration.TableView()
        self.fleet: propagation.FleetVersion | None = None
        self.tokens = operators.TokenCheck(path=token_file)
        self.application = operators.make_application(
            dump=dict,
            is_ready=lambda: True,
            collector=operators.InstanceCollector(read_samples=list),
            table=operators.TableApi(
                editor=configuration.TableEditor(
                    store=self.store,
                    known=KNOWN_NAMES,
                ),
                view=self.view,
                fetch_fleet=self._fetch_fleet,
            ),
            tokens=self.tokens,
        )

    async def _fetch_fleet(self) -> propagation.FleetVersion | None:
        return self.fleet

    async def fill(self, row: configuration.ServiceRow) -> None:
        """Store one row as version 1 and put it in force."""
        await self.store.apply_edit([row], expected=base.TableVersion(0))
        self.view.advance(await self.store.load())

"""Steps of power_loss.feature."""

from behave import then, when

from almondfield_control.tests.fake_folder import replace_system_calls
from almondfield_daemon.fleet_daemon.tests.power_loss_fleet import run_power_loss
from almondfield_testing import run


@when(
    "{hosts:d} control hosts lose power and {disks:d} disks {moment}, "
    "with seeds {first:d} to {last:d}"
)
def step_impl(context, hosts, disks, moment, first, last):
    replace_system_calls(context)
    context.failure_by_seed = {}
    for seed in range(first, last + 1):
        try:
            run(context, run_power_loss(hosts, disks, moment, seed))
        except AssertionError as failure:
            context.failure_by_seed[seed] = failure


@then("each fleet returned what it acknowledged and served again")
def step_impl(context):
    assert not context.failure_by_seed, context.failure_by_seed

"""Creates the processes of each scenario and ends them after it."""

from standins.fleet import Fleet
from standins.processes import Processes


def before_scenario(context, scenario):
    context.processes = Processes()
    context.fleet = Fleet(context.processes)
    context.answers = {}


def after_scenario(context, scenario):
    context.processes.stop_all()

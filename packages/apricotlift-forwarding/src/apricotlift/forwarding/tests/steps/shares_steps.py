from apricotlift.forwarding.budgets import RetryBudgets
from behave import then, when


@when(
    "{n_nodes:d} nodes forward {n_requests:d} requests in a window and retry all failures"
)
def step_forward(context, n_nodes, n_requests):
    budgets = [
        RetryBudgets(0.2, 56.0, lambda: n_nodes).get("svc") for _ in range(n_nodes)
    ]
    context.n_requests = n_requests
    context.n_retries = 0
    for number in range(n_requests):
        budget = budgets[number % n_nodes]
        budget.add_first_attempt()
        while budget.take():
            context.n_retries += 1
    for budget in budgets:
        while budget.take():
            context.n_retries += 1


@then("at most a share of {share:g} of them and {n:d} more are retried")
def step_retry_limit(context, share, n):
    allowed = share * context.n_requests + n
    assert context.n_retries <= allowed, (context.n_retries, allowed)

from apricotlift.forwarding.budgets import RetryBudgets
from behave import then, when


@when(
    "{n:d} nodes forward {n_requests:d} requests in a window and retry whatever fails"
)
def step_forward(context, n, n_requests):
    budgets = [RetryBudgets(0.2, 56.0, lambda: n).get("svc") for _ in range(n)]
    context.n_requests = n_requests
    context.n_retries = 0
    for number in range(n_requests):
        budget = budgets[number % n]
        budget.add_first_attempt()
        while budget.take():
            context.n_retries += 1
    for budget in budgets:
        while budget.take():
            context.n_retries += 1


@then("at most {share:g} of them and {n:d} more are retried")
def step_bound(context, share, n):
    allowed = share * context.n_requests + n
    assert context.n_retries <= allowed, (context.n_retries, allowed)

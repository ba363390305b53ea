package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.WindowedRetryBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** The retry budgets by service. Used on the entry's loop only. */
final class WindowedRetryBudgets {

    /** Maximum number of budgets kept; service names come from configurations, which change. */
    private static final int MAXIMUM_SERVICES = 1_000;

    private final Function<String, WindowedRetryBudget> factory;
    private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

    WindowedRetryBudgets(Function<String, WindowedRetryBudget> factory) {
        this.factory = factory;
    }

    WindowedRetryBudget forService(String service) {
        if (byService.size() >= MAXIMUM_SERVICES) {
            byService.clear();
        }
        return byService.computeIfAbsent(service, factory);
    }
}

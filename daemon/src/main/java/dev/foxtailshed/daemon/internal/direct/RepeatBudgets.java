package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.direct.RepeatBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** The budgets for repeats by service. Used on the entry's loop only. */
final class RepeatBudgets {

    /** Services remembered; names come from configurations, which change. */
    private static final int MAXIMUM_SERVICES = 1_000;

    private final Function<String, RepeatBudget> factory;
    private final Map<String, RepeatBudget> byService = new HashMap<>();

    RepeatBudgets(Function<String, RepeatBudget> factory) {
        this.factory = factory;
    }

    RepeatBudget of(String service) {
        if (byService.size() >= MAXIMUM_SERVICES) {
            byService.clear();
        }
        return byService.computeIfAbsent(service, factory);
    }
}

package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.direct.BufferBudget;

/** Creates the budgets for the parts of requests and responses that a process holds in memory. */
public final class BufferBudgets {

    /** Parts of the heap; parsing, copies and the collector need the rest. */
    private static final long RESPONSES_HEAP_DIVISOR = 6;

    private static final long REQUESTS_HEAP_DIVISOR = 6;

    /** Memory that each part takes besides its bytes. */
    public static final int PART_OVERHEAD_BYTES = 96;

    private BufferBudgets() {}

    /**
     * Creates the budget of this process for responses.
     *
     * @return a budget in proportion to the largest size of the heap
     */
    public static BufferBudget forResponses() {
        return new BufferBudget(Runtime.getRuntime().maxMemory() / RESPONSES_HEAP_DIVISOR);
    }

    /**
     * Creates the budget of this process for the bodies of requests.
     *
     * @return a budget in proportion to the largest size of the heap
     */
    public static BufferBudget forRequests() {
        return new BufferBudget(Runtime.getRuntime().maxMemory() / REQUESTS_HEAP_DIVISOR);
    }
}

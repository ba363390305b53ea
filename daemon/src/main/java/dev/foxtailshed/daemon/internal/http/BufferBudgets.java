package dev.foxtailshed.daemon.internal.http;

import dev.foxtailshed.kernel.direct.BufferBudget;

/** Creates the budget for the parts of responses that a process holds in memory. */
public final class ResponseBuffers {

    /** Part of the heap; parsing, copies and the collector need the rest. */
    private static final long HEAP_DIVISOR = 6;

    /** Memory that each part takes besides its bytes. */
    public static final int PART_OVERHEAD_BYTES = 96;

    private ResponseBuffers() {}

    /**
     * Creates the budget of this process.
     *
     * @return a budget in proportion to the largest size of the heap
     */
    public static BufferBudget newBudget() {
        return new BufferBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }
}

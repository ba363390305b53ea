package dev.foxtailshed.bench.slopes;

/** Reads the heap usage of this process after a full garbage collection. */
final class HeapInUse {

    private HeapInUse() {}

    static long bytes() {
        System.gc();
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

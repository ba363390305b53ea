package dev.foxtailshed.kernel.manifest;

/** The algorithm with which a routing policy places requests. */
public enum RouterKind {
    /** Reserves a decode server before the prefill. */
    RESERVE_FIRST("reserve-first"),
    /** Takes servers in turn and reserves no decode server ahead; the baseline for comparisons. */
    NAIVE("naive");

    private final String label;

    RouterKind(String label) {
        this.label = label;
    }

    /**
     * Returns the word used in the manifest.
     *
     * @return the word
     */
    public String label() {
        return label;
    }
}

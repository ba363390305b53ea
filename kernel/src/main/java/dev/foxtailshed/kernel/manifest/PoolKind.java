package dev.foxtailshed.kernel.manifest;

/** The kind of work of a pool's backend servers. */
public enum PoolKind {
    /** Processes prompts and exports their KV cache. */
    PREFILL("prefill"),
    /** Imports a KV cache and generates the answer. */
    DECODE("decode"),
    /** Serves plain HTTP calls. */
    PLAIN("plain");

    private final String label;

    PoolKind(String label) {
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

package dev.foxtailshed.kernel.manifest.internal;

import dev.foxtailshed.kernel.manifest.ManifestProblem;
import java.util.ArrayList;
import java.util.List;

/** A bounded collection of the problems of one document. Not thread-safe. */
public final class Problems {

    private final int maximum;
    private final List<ManifestProblem> list = new ArrayList<>();

    /**
     * Creates an empty collection.
     *
     * @param maximum the maximum number of problems
     */
    public Problems(int maximum) {
        this.maximum = maximum;
    }

    /**
     * Adds a problem unless the limit is reached.
     *
     * @param path the JSON path in the document
     * @param expected a description of the valid values
     * @param found a description of the actual value
     */
    public void add(String path, String expected, String found) {
        if (!isFull()) {
            list.add(new ManifestProblem(path, expected, found));
        }
    }

    /**
     * Returns whether no problem was found.
     *
     * @return true if there is none
     */
    public boolean isEmpty() {
        return list.isEmpty();
    }

    /**
     * Returns whether the limit is reached, so that further problems are dropped.
     *
     * @return true if the limit is reached
     */
    public boolean isFull() {
        return list.size() >= maximum;
    }

    /**
     * Returns the problems in the order in which they were found.
     *
     * @return an unmodifiable copy
     */
    public List<ManifestProblem> list() {
        return List.copyOf(list);
    }
}

package dev.foxtailshed.kernel.manifest;

/**
 * A validation error of a manifest.
 *
 * @param path the JSON path in the document, starting with <code>$</code>
 * @param expected a description of the valid values
 * @param found a description of the actual value
 */
public record ManifestProblem(String path, String expected, String found) {

    @Override
    public String toString() {
        return path + ": expected " + expected + ", found " + found;
    }
}

package dev.foxtailshed.kernel.manifest;

import com.google.gson.JsonElement;
import dev.foxtailshed.kernel.manifest.internal.DocumentParser;
import dev.foxtailshed.kernel.manifest.internal.Problems;
import dev.foxtailshed.kernel.manifest.internal.TreeDiff;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Compares two manifest documents.
 *
 * <p>Entries of arrays are matched by their name, routes by method and path, so that a server
 * inserted before others is a single difference; the order of entries is ignored. Thread-safe.
 * Documents that are not strict JSON are refused; the other rules of the manifest are not checked.
 */
public final class ManifestDiff {

    /**
     * Compares two documents.
     *
     * @param before the earlier document
     * @param after the later document
     * @return the differences in the order of the documents, or why a document cannot be read
     */
    public Either<List<ManifestProblem>, List<Change>> compare(byte[] before, byte[] after) {
        Problems problems = new Problems(ManifestReader.MAXIMUM_PROBLEMS);
        Optional<JsonElement> earlier = new DocumentParser(problems).parse(before);
        Optional<JsonElement> later = new DocumentParser(problems).parse(after);
        if (earlier.isEmpty() || later.isEmpty() || !problems.isEmpty()) {
            return Either.left(problems.list());
        }
        return Either.right(TreeDiff.compare(earlier.get(), later.get()));
    }

    /** The kind of a difference. */
    public enum Kind {
        /** Only the later document has the path. */
        ADDED,
        /** Only the earlier document has the path. */
        REMOVED,
        /** The values at the path differ. */
        CHANGED
    }

    /**
     * One difference.
     *
     * @param path the path, with names in place of indexes, such as <code>$.servers[llm-1]
     *     </code>
     * @param kind the kind of the difference
     * @param before the earlier value as JSON, if any
     * @param after the later value as JSON, if any
     */
    public record Change(String path, Kind kind, Optional<String> before, Optional<String> after) {}
}

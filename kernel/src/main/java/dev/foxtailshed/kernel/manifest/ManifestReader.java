package dev.foxtailshed.kernel.manifest;

import com.google.gson.JsonElement;
import dev.foxtailshed.kernel.manifest.internal.DocumentParser;
import dev.foxtailshed.kernel.manifest.internal.ManifestRules;
import dev.foxtailshed.kernel.manifest.internal.Problems;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Parses and validates a manifest document.
 *
 * <p>Example: <code>new ManifestReader().read(bytes).peekLeft(problems -> show(problems))</code>.
 * Thread-safe. It refuses documents over {@link #MAXIMUM_SIZE_BYTES}, documents that are not strict
 * JSON in UTF-8, unknown or missing fields, values out of range, duplicate keys and names, and
 * references to names that the document does not define.
 */
public final class ManifestReader {

    /** The maximum size of a document in bytes. */
    public static final int MAXIMUM_SIZE_BYTES = 1024 * 1024;

    /** The maximum number of problems reported for one document. */
    public static final int MAXIMUM_PROBLEMS = 50;

    /**
     * Reads a document.
     *
     * @param document the manifest as JSON in UTF-8
     * @return the manifest, or all its problems, at most {@link #MAXIMUM_PROBLEMS}
     */
    public Either<List<ManifestProblem>, Manifest> read(byte[] document) {
        Problems problems = new Problems(MAXIMUM_PROBLEMS);
        if (document.length > MAXIMUM_SIZE_BYTES) {
            problems.add(
                    "$",
                    "a document of at most " + MAXIMUM_SIZE_BYTES + " bytes",
                    document.length + " bytes");
            return Either.left(problems.list());
        }
        Optional<JsonElement> tree = new DocumentParser(problems).parse(document);
        if (tree.isEmpty()) {
            return Either.left(problems.list());
        }
        Manifest manifest = new ManifestRules(problems).read(tree.get());
        return problems.isEmpty() ? Either.right(manifest) : Either.left(problems.list());
    }
}

package dev.foxtailshed.harness;

import java.nio.file.Files;
import java.nio.file.Path;

/** The packaged programs of this repository; each constant locates its jar. */
public enum ProgramJar {
    /** The daemon {@code foxtailshedd}. */
    DAEMON("daemon"),
    /** The daemon packaged with the adapter to the hosting platform. */
    HOSTED("platform", "target/foxtailshed.jar"),
    /** The operator command {@code foxtailshed}. */
    CLI("cli"),
    /** The stand-ins for backend servers and the platform. */
    STANDINS("standins");

    private static final String VERSION = "0.1.0";

    private final String module;
    private final String relativePath;

    ProgramJar(String module) {
        this(module, module + "/target/foxtailshed-" + module + "-" + VERSION + "-all.jar");
    }

    ProgramJar(String module, String relativePath) {
        this.module = module;
        this.relativePath = relativePath;
    }

    /**
     * Returns the path of the jar, searched from the working directory upwards.
     *
     * @throws IllegalStateException if the modules have not been packaged
     */
    public Path path() {
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null) {
            Path jar = directory.resolve(relativePath);
            if (Files.exists(jar)) {
                return jar;
            }
            directory = directory.getParent();
        }
        throw new IllegalStateException(
                "the program " + module + " is not packaged; run mvn package first");
    }
}

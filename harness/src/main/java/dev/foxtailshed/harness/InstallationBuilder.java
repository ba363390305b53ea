package dev.foxtailshed.harness;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Configures and starts an {@link Installation}. Not thread-safe. */
public final class InstallationBuilder {
    final List<String> engineArguments = new ArrayList<>();
    final List<String> sidecarArguments = new ArrayList<>();
    final List<String> entryArguments = new ArrayList<>();
    List<String> jvmOptions = JavaProcess.SMALL_JVM;
    String manifest = smallManifest();
    int entries = 1;
    boolean usesProxies = true;
    boolean submitsManifest = true;

    InstallationBuilder() {}

    /**
     * Sets the manifest; the default is small.json of this package.
     *
     * @param document the manifest as JSON
     * @return this builder
     */
    public InstallationBuilder manifest(String document) {
        manifest = document;
        return this;
    }

    /**
     * Sets the number of entries; the default is one.
     *
     * @return this builder
     */
    public InstallationBuilder entries(int count) {
        entries = count;
        return this;
    }

    /**
     * Connects entries to sidecars directly, without fault-injecting proxies.
     *
     * @return this builder
     */
    public InstallationBuilder withoutProxies() {
        usesProxies = false;
        return this;
    }

    /**
     * Starts the installation without submitting the manifest and without waiting until it serves.
     *
     * @return this builder
     */
    public InstallationBuilder withoutManifestSubmission() {
        submitsManifest = false;
        return this;
    }

    /**
     * Adds command line arguments for every engine stand-in.
     *
     * @return this builder
     */
    public InstallationBuilder engineArguments(String... arguments) {
        engineArguments.addAll(List.of(arguments));
        return this;
    }

    /**
     * Adds command line arguments for every sidecar.
     *
     * @return this builder
     */
    public InstallationBuilder sidecarArguments(String... arguments) {
        sidecarArguments.addAll(List.of(arguments));
        return this;
    }

    /**
     * Adds command line arguments for every entry.
     *
     * @return this builder
     */
    public InstallationBuilder entryArguments(String... arguments) {
        entryArguments.addAll(List.of(arguments));
        return this;
    }

    /**
     * Sets the options of all JVMs; the default is a small heap and only the C1 compiler.
     *
     * @return this builder
     */
    public InstallationBuilder jvmOptions(String... options) {
        jvmOptions = List.of(options);
        return this;
    }

    /**
     * Starts all processes, submits the manifest and waits until every entry serves it. Stops what
     * was started if that fails.
     *
     * @throws IOException if a stand-in cannot be started or the submission fails
     */
    public Installation start() throws IOException {
        Installation installation = new Installation(this);
        try {
            installation.startAll();
            return installation;
        } catch (IOException | RuntimeException e) {
            installation.close();
            throw e;
        }
    }

    private static String smallManifest() {
        try (InputStream stream = Installation.class.getResourceAsStream("small.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package dev.foxtailshed.kernel.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the sample manifests are valid and route their calls as expected. */
class SampleManifestsTest {

    @ParameterizedTest
    @CsvSource({
        "ligustro, orders, POST, /wire-orders, false",
        "ligustro, orders, POST, /deposit-charges, false",
        "ligustro, orders, GET, /stock/wire-2mm, true",
        "ligustro, orders, GET, /order-status, true",
        "cyngor, spares, POST, /spares-issues, false",
        "cyngor, spares, GET, /stock, true",
    })
    void sampleIsValidAndRoutesItsCalls(
            String sample, String deployment, String method, String path, boolean repeatable)
            throws IOException {
        byte[] document = Files.readAllBytes(Path.of("..", "manifests", sample + ".json"));

        Either<List<ManifestProblem>, Manifest> result = new ManifestReader().read(document);

        assertThat(result.swap().getOrElse(List.of())).isEmpty();
        assertThat(result.get().findRoute(deployment, method, path).map(Route::repeatable))
                .contains(repeatable);
        assertThat(result.get().serversOf("prefill")).hasSize(2);
        assertThat(result.get().serversOf("decode")).hasSize(4);
    }
}

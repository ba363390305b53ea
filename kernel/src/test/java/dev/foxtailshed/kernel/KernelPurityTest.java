package dev.foxtailshed.kernel;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that the decision logic uses no input, output, clocks or threads. */
class KernelPurityTest {

    private static final JavaClasses KERNEL =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("dev.foxtailshed.kernel");

    @Test
    void kernelUsesNoInputOutputOrThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent",
                        "org.eclipse.jetty..")
                .check(KERNEL);
    }

    @Test
    void kernelUsesNoClock() {
        noClasses().should().callMethod(System.class, "nanoTime").check(KERNEL);
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(KERNEL);
    }
}

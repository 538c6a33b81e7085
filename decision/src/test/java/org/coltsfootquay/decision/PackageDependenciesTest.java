package org.coltsfootquay.decision;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against input, output and system clock access in the decision library. */
final class PackageDependenciesTest {

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.coltsfootquay.decision");

    @Test
    void decisionLibraryHasNoInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.nio.channels..", "java.nio.file..", "java.io..")
                .because("the decision library has no input or output; callers pass events in and execute the actions")
                .check(classes);
    }

    @Test
    void decisionLibraryReadsNoSystemClock() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .because("time is passed in so that runs are reproducible")
                .check(classes);
    }
}

package org.coltsfootquay.standin;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against stand-ins that share code, and so mistakes, with what they test. */
final class PackageDependenciesTest {

    @Test
    void standInsUseNeitherTheRouterNorTheDecisionLibrary() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.coltsfootquay.router..", "org.coltsfootquay.decision..")
                .because("a stand-in implements the documented protocol on its own")
                .check(new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("org.coltsfootquay.standin"));
    }
}

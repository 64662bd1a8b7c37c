package org.plantainshunt.control;

import java.util.Optional;

/** The kinds of documents that nodes read from the platform and exchange with each other. Immutable. */
enum DocumentKind {
    CONFIGURATION("configuration"),
    VM_LIST("vm-list");

    private final String label;

    DocumentKind(String label) {
        this.label = label;
    }

    /** Returns the name used in the inner protocol and in the platform's URL path. */
    String label() {
        return label;
    }

    static Optional<DocumentKind> ofLabel(String label) {
        for (DocumentKind kind : values()) {
            if (kind.label.equals(label)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}

package org.plantainshunt.configuration;

/**
 * The values that a key may have, both ends included, as they are written in a document.
 *
 * @param smallest the smallest value with its unit
 * @param largest the largest value with its unit
 */
record Range(String smallest, String largest) {
    String advice() {
        return "write a value from " + smallest + " to " + largest;
    }
}

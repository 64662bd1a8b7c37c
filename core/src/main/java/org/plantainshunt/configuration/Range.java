package org.plantainshunt.configuration;

/**
 * An inclusive range of the values of a key, in the notation of a document.
 *
 * @param smallest the smallest value with its unit
 * @param largest the largest value with its unit
 */
record Range(String smallest, String largest) {
    String advice() {
        return "write a value from " + smallest + " to " + largest;
    }
}

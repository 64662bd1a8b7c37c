package org.plantainshunt.configuration;

/**
 * An inclusive range of the values of a key, in the notation of a document.
 *
 * @param min the smallest value with its unit
 * @param max the largest value with its unit
 */
record Range(String min, String max) {
    String advice() {
        return "write a value from " + min + " to " + max;
    }
}

/**
 * The configuration document (its INI format, its model, its validation, and the order in which documents replace each
 * other) and the list of VMs.
 */
package org.plantainshunt.configuration;

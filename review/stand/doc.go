// Program stand runs the cases of the review. It starts the project's own programs as separate processes and plays the clients, the
// servers, the operator and the platform around them, as the pages of the platform describe them. It uses only the standard library.
package main
